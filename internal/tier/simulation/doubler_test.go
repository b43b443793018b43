package simulation

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/network/memorynetwork"
	"mastusher/internal/tier/standin"
)

// doubler is an endpoint that sends each answer twice and keeps the connection.
type doubler struct {
	host     *memorynetwork.Machine
	listener net.Listener

	mutex sync.Mutex
	ran   map[string]int // how often, by attempt
}

const (
	doublerAddress = "10.8.1.1"
	doublerID      = "doubler"
)

// startDoubler puts one on the platform's list, in place of the other endpoints for tools.
func startDoubler(t *testing.T, f *Fleet) *doubler {
	t.Helper()
	host := f.network.Machine(doublerAddress)
	listener, err := f.environment.listen(host, endpointPort)()
	if err != nil {
		t.Fatal(err)
	}
	d := &doubler{host: host, listener: listener, ran: map[string]int{}}
	go d.serve()
	for number := range 2 * endpointsPerService {
		if number%2 == 1 {
			f.environment.platform.Remove(fmt.Sprintf("e-%d", number))
		}
	}
	f.environment.platform.Put(model.Endpoint{ID: doublerID, Service: toolService, Address: listener.Addr().String(), Zone: zoneName(0), Version: "v1",
		Capacity: endpointCapacity, State: model.Ready})
	return d
}

func (d *doubler) serve() {
	for {
		socket, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.answer(socket)
	}
}

// answer serves one connection.
func (d *doubler) answer(socket net.Conn) {
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := request.Header.Get("X-Attempt-Id")
		if attempt != "" {
			d.mutex.Lock()
			d.ran[attempt]++
			d.mutex.Unlock()
		}
		body := standin.PlainBody(doublerID, attempt, 0)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			attempt, standin.Seal(doublerID, attempt), doublerID, len(body), body)
		if _, err := socket.Write([]byte(text + text)); err != nil {
			return
		}
	}
}

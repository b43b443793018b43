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

// duplicatingEndpoint is an endpoint that sends each response twice and keeps the connection open.
type duplicatingEndpoint struct {
	host     *memorynetwork.Machine
	listener net.Listener

	mutex sync.Mutex
	ran   map[string]int // number of runs, by attempt
}

const (
	duplicatingAddress = "10.8.1.1"
	duplicatingID      = "doubler"
)

// startDuplicatingEndpoint starts a duplicating endpoint and lists it on the platform, in place of the other endpoints of the tool service.
func startDuplicatingEndpoint(t *testing.T, f *Fleet) *duplicatingEndpoint {
	t.Helper()
	host := f.network.Machine(duplicatingAddress)
	listener, err := f.environment.listen(host, endpointPort)()
	if err != nil {
		t.Fatal(err)
	}
	d := &duplicatingEndpoint{host: host, listener: listener, ran: map[string]int{}}
	go d.serve()
	for number := range 2 * endpointsPerService {
		if number%2 == 1 {
			f.environment.platform.Remove(fmt.Sprintf("e-%d", number))
		}
	}
	f.environment.platform.Put(model.Endpoint{ID: duplicatingID, Service: toolService, Address: listener.Addr().String(), Zone: zoneName(0), Version: "v1",
		Capacity: endpointCapacity, State: model.Ready})
	return d
}

func (d *duplicatingEndpoint) serve() {
	for {
		socket, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.answer(socket)
	}
}

// answer serves the requests of one connection.
func (d *duplicatingEndpoint) answer(socket net.Conn) {
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
		body := standin.PlainBody(duplicatingID, attempt, 0)
		text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			attempt, standin.Seal(duplicatingID, attempt), duplicatingID, len(body), body)
		if _, err := socket.Write([]byte(text + text)); err != nil {
			return
		}
	}
}

// Command 3 shows that an acknowledged configuration never takes effect on connections that clients keep: the larger limit on a request's
// head isn't applied there, and proper requests get 431.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"review/tier"
)

const (
	applyWithin = 2 * time.Second // applyMs
	pause       = 500 * time.Millisecond
	rounds      = 12       // requests on each kept connection after the change, one each pause
	kept        = 4        // connections that clients keep at each relay
	headBytes   = 24 << 10 // of the later requests: within the new limit, above the old one
	smallLimit  = 16384
	largeLimit  = 65536
)

func main() { os.Exit(run()) }

func run() int {
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := tier.NewRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	t, err := tier.New(os.Args[1], tier.Small, record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer t.Stop()
	if err := startEndpoint(t, record); err != nil {
		fmt.Println(err)
		return 2
	}
	first := smallLimit
	if !trouble {
		first = largeLimit // the same limit from the start: no change
	}
	if err = t.Start(); err == nil {
		if err = t.Configure(configuration(1, first), 0); err == nil {
			err = t.Ready(20 * time.Second)
		}
	}
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	record.Note("configuration 1 is acknowledged, maxHeaderBytes %d", first)
	var clients []*client
	for _, relay := range t.Of("edge") {
		for i := range kept {
			c := &client{name: fmt.Sprintf("%s-%d", relay.Name, i+1), relay: relay, record: record}
			if err := c.dial(); err != nil {
				fmt.Println("could not run:", err)
				return 2
			}
			if status := c.send(0); status != http.StatusOK {
				fmt.Println("could not run: the first request got", status)
				return 2
			}
			clients = append(clients, c)
		}
	}
	if trouble {
		if err := t.Configure(configuration(2, largeLimit), 1); err != nil {
			fmt.Println("could not run:", err)
			return 2
		}
		record.Note("configuration 2 is acknowledged, maxHeaderBytes %d", largeLimit)
	}
	time.Sleep(applyWithin + pause)
	sent, denied, fresh := 0, 0, 0
	for range rounds {
		for _, c := range clients {
			if c.closed {
				continue
			}
			sent++
			if status := c.send(headBytes); status >= 300 && status < 500 {
				denied++
			}
		}
		time.Sleep(pause)
	}
	for _, relay := range t.Of("edge") { // the same request on a new connection
		c := &client{name: relay.Name + "-new", relay: relay, record: record}
		if c.dial() == nil && c.send(headBytes) == http.StatusOK {
			fresh++
		}
	}
	allowed := 5 + float64(sent+len(clients))/500
	summary := fmt.Sprintf("%d requests sent later than applyMs on %d kept connections, %d ended with a 4xx of the relay's own (DENIED allows %.1f); %d of %d relays served the same request on a new connection",
		sent, len(clients), denied, allowed, fresh, len(t.Of("edge")))
	record.Note("%s", summary)
	fmt.Println(summary)
	switch {
	case fresh < len(t.Of("edge")):
		return 2
	case float64(denied) > allowed:
		return 1
	}
	return 0
}

func configuration(number, maxHeaderBytes int) string {
	return fmt.Sprintf(`{"number":%d,"routes":[{"name":"goals","host":"goals.example","startsWith":"/push/","kind":"retryable","giveUpMs":2000,"targetMs":400,`+
		`"rank":2,"service":"scores","tries":2,"remembered":false,"keepForS":60.0,"pinned":false,"canResume":false}],`+
		`"services":[{"name":"scores","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":%d,"maxBodyBytes":4194304,"headerWaitMs":3000,"idleCloseMs":15000}}`, number, maxHeaderBytes)
}

// startEndpoint starts an endpoint that answers at once, and lists it.
func startEndpoint(t *tier.Tier, record *tier.Record) error {
	listener, err := net.Listen("tcp4", t.EndpointAddress(1))
	if err != nil {
		return err
	}
	server := &http.Server{MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		record.Note("i-1 runs %s", id)
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Server-Seal", "seal.i-1."+id)
		_, _ = io.WriteString(w, "goal\n")
	})}
	go func() { _ = server.Serve(listener) }()
	t.Platform().Put(tier.Entry{ID: "i-1", Service: "scores", Address: listener.Addr().String(), Zone: "hall-a", Number: "v1", Capacity: 64, State: "ready"})
	return nil
}

// client keeps one connection to a relay.
type client struct {
	name   string
	relay  *tier.Machine
	record *tier.Record
	socket net.Conn
	reader *bufio.Reader
	sent   int
	closed bool
}

func (c *client) dial() error {
	socket, err := net.Dial("tcp4", c.relay.At(tier.FrontPort))
	if err != nil {
		return err
	}
	c.socket, c.reader = socket, bufio.NewReader(socket)
	return nil
}

// send sends a request with so many bytes in a header field, and returns the status of its answer; 0: there is none. A client that is told
// to close, or whose connection is closed, opens no new one.
func (c *client) send(bytes int) int {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	head := "GET /push/a HTTP/1.1\r\nHost: goals.example\r\nX-Attempt-Id: " + id + "\r\nX-Time-Left-Ms: 2000\r\n"
	if bytes > 0 {
		head += "Cookie: X-Subject=s; pad=" + strings.Repeat("p", bytes) + "\r\n"
	}
	_ = c.socket.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c.socket, head+"\r\n"); err != nil {
		c.record.Note("client: %s can't be sent: %v", id, err)
		c.closed = true
		return 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.Note("client: %s has no answer: %v", id, err)
		c.closed = true
		return 0
	}
	body, _ := io.ReadAll(response.Body)
	c.closed = response.Close
	c.record.Note("client: %s (head of %d bytes) gets %d, seal %q, %q, close=%v", id, len(head)+2, response.StatusCode, response.Header.Get("X-Server-Seal"),
		strings.TrimSpace(string(body)), response.Close)
	return response.StatusCode
}

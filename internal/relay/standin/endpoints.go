package standin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/httpwire"
)

// Arrival is one message that an endpoint received; a bulk call carries several.
type Arrival struct {
	Endpoint int       // number of the endpoint
	At       time.Time // when the call was read
	ID, Key  string
	Header   map[string][]string // of the call
	Body     string              // of the message, in Base64 where the call is a bulk call
}

// Endpoints are the endpoints of partners, one for each, numbered from 0: endpoint n serves partner n.
type Endpoints struct {
	Addresses []string // host and port, by number
	answer    func(Arrival) httpwire.Answer
	listeners []net.Listener
	servers   []*httpwire.Server

	mu       sync.Mutex // guards arrivals
	arrivals []Arrival
	arrived  chan struct{} // has an element if messages have arrived since the last receive
}

// NewEndpoints opens n endpoints on loopback. answer gives the response to each call (a bulk call is one); it runs on the
// goroutine of the connection, so it must be safe for concurrent use.
func NewEndpoints(n int, answer func(Arrival) httpwire.Answer) (*Endpoints, error) {
	e := &Endpoints{answer: answer, arrived: make(chan struct{}, 1)}
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.Close()
			return nil, err
		}
		server := httpwire.NewServer(Limits(), func(request *httpwire.Request) httpwire.Answer { return e.handle(i, request) })
		e.listeners, e.servers = append(e.listeners, listener), append(e.servers, server)
		e.Addresses = append(e.Addresses, listener.Addr().String())
		go func() { _ = server.Serve(listener) }() // until Close
	}
	return e, nil
}

// handle records the messages of a call and answers it.
func (e *Endpoints) handle(endpoint int, request *httpwire.Request) httpwire.Answer {
	call := Arrival{Endpoint: endpoint, At: time.Now(), ID: request.Header.Get("X-Request-Id"), Key: request.Header.Get("Idempotency-Key"),
		Header: request.Header, Body: string(request.Body)}
	messages := []Arrival{call}
	if strings.HasSuffix(request.Path, "/bulk") {
		messages = bulkMessages(call, request.Body)
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, messages...)
	e.mu.Unlock()
	select {
	case e.arrived <- struct{}{}:
	default:
	}
	return e.answer(call)
}

// bulkMessages returns the messages in the body of a bulk call.
func bulkMessages(call Arrival, body []byte) (messages []Arrival) {
	gjson.ParseBytes(body).ForEach(func(_, message gjson.Result) bool {
		messages = append(messages, Arrival{Endpoint: call.Endpoint, At: call.At, ID: message.Get("id").String(), Key: message.Get("key").String(),
			Header: call.Header, Body: message.Get("body").String()})
		return true
	})
	return messages
}

// Arrivals returns all messages received so far, in the order of their arrival.
func (e *Endpoints) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival{}, e.arrivals...)
}

// AwaitArrivals waits until n messages have been received, or for the timeout, and returns those received so far.
func (e *Endpoints) AwaitArrivals(n int, timeout time.Duration) []Arrival {
	expired := time.After(timeout)
	for {
		if all := e.Arrivals(); len(all) >= n {
			return all
		}
		select {
		case <-e.arrived:
		case <-expired:
			return e.Arrivals()
		}
	}
}

// Close closes the listeners and servers; each server gets up to ten seconds for its open calls.
func (e *Endpoints) Close() {
	for i, listener := range e.listeners {
		_ = listener.Close()
		e.servers[i].Close(10 * time.Second)
	}
}

// Snapshot returns discovery's first update, with all endpoints, for NewDiscovery and for the relay's key "known".
func (e *Endpoints) Snapshot(kind, zone string) string {
	return e.SnapshotOf(len(e.Addresses), kind, zone)
}

// SnapshotOf is Snapshot with the first n endpoints only.
func (e *Endpoints) SnapshotOf(n int, kind, zone string) string {
	var entries []string
	for i := range n {
		entries = append(entries, e.Entry(i, i, kind, zone, "ready"))
	}
	return `{"index":1,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}`
}

// Entry returns endpoint n in discovery's JSON, as the endpoint of a partner and with a status such as "ready".
func (e *Endpoints) Entry(n, partner int, kind, zone, status string) string {
	return fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,"weight":1,"since_ms":0}`, n, e.Addresses[n], zone,
		kind, partner, status)
}

// Package standin plays the platform around a relay on loopback: endpoints of partners, discovery with its notices,
// and clients. It serves tests and measurements; what happened is in its record.
package standin

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/httpwire"
)

// Limits are those of the stand-ins' sockets.
func Limits() *config.Limits {
	return &config.Limits{HeadSize: 64 << 10, BodySize: 1 << 20, ClientConnections: 4096, FrontIdle: time.Hour, FrontRead: time.Minute,
		FrontWrite: time.Minute, AnswerRead: time.Minute, MaxInterim: 4, ConnectTimeout: time.Minute, IdleSocket: time.Hour}
}

// Arrival is one call that an endpoint got.
type Arrival struct {
	Endpoint int
	At       time.Time
	ID, Key  string
	Header   map[string][]string
	Body     string
}

// Endpoints are partners' endpoints, one each, numbered from 0; endpoint n serves partner n.
type Endpoints struct {
	Addresses []string
	answer    func(Arrival) httpwire.Answer
	listeners []net.Listener
	servers   []*httpwire.Server

	mu       sync.Mutex
	arrivals []Arrival
	came     chan struct{}
}

// NewEndpoints opens n endpoints; answer is asked for each call, one goroutine a connection.
func NewEndpoints(n int, answer func(Arrival) httpwire.Answer) (*Endpoints, error) {
	e := &Endpoints{answer: answer, came: make(chan struct{}, 1)}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			e.Close()
			return nil, err
		}
		s := httpwire.NewServer(Limits(), func(q *httpwire.Request) httpwire.Answer { return e.call(i, q) })
		e.listeners, e.servers, e.Addresses = append(e.listeners, l), append(e.servers, s), append(e.Addresses, l.Addr().String())
		go func() { _ = s.Serve(l) }()
	}
	return e, nil
}

func (e *Endpoints) call(n int, q *httpwire.Request) httpwire.Answer {
	a := Arrival{Endpoint: n, At: time.Now(), ID: q.Header.Get("X-Request-Id"), Key: q.Header.Get("Idempotency-Key"),
		Header: q.Header, Body: string(q.Body)}
	all := []Arrival{a}
	if strings.HasSuffix(q.Path, "/bulk") {
		all = all[:0]
		gjson.ParseBytes(q.Body).ForEach(func(_, m gjson.Result) bool {
			all = append(all, Arrival{Endpoint: n, At: a.At, ID: m.Get("id").String(), Key: m.Get("key").String(),
				Header: q.Header, Body: m.Get("body").String()})
			return true
		})
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, all...)
	e.mu.Unlock()
	select {
	case e.came <- struct{}{}:
	default:
	}
	return e.answer(a)
}

// Arrivals returns all calls so far.
func (e *Endpoints) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival{}, e.arrivals...)
}

// Await waits until there have been n calls, for a time.
func (e *Endpoints) Await(n int, within time.Duration) []Arrival {
	late := time.After(within)
	for {
		if all := e.Arrivals(); len(all) >= n {
			return all
		}
		select {
		case <-e.came:
		case <-late:
			return e.Arrivals()
		}
	}
}

// Close ends the endpoints.
func (e *Endpoints) Close() {
	for i, l := range e.listeners {
		_ = l.Close()
		e.servers[i].Close(10 * time.Second)
	}
}

// Known is the list of the endpoints in discovery's form.
func (e *Endpoints) Known(kind, zone string) string { return e.List(len(e.Addresses), kind, zone) }

// List is the list of the first n.
func (e *Endpoints) List(n int, kind, zone string) string {
	var all []string
	for i := range n {
		all = append(all, e.Entry(i, i, kind, zone, "ready"))
	}
	return `{"index":1,"snapshot":true,"endpoints":[` + strings.Join(all, ",") + `]}`
}

// Entry is one endpoint in that form.
func (e *Endpoints) Entry(n, partner int, kind, zone, status string) string {
	return fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":%q,"type":%q,"group":%d,"status":%q,"weight":1,"since_ms":0}`, n, e.Addresses[n], zone,
		kind, partner, status)
}

// Discovery tells the list and its changes to whoever watches, and takes notices.
type Discovery struct {
	Address string
	l       net.Listener
	list    string

	mu      sync.Mutex
	conns   []net.Conn
	changes []string
	notices map[string]string // outcome, by id
	twice   int               // messages with two different outcomes
}

// NewDiscovery serves a list.
func NewDiscovery(list string) (*Discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: l.Addr().String(), l: l, list: list, notices: map[string]string{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns = append(d.conns, conn)
			d.mu.Unlock()
			go d.serve(conn)
		}
	}()
	return d, nil
}

func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	r := httpwire.NewReader(conn, Limits())
	for {
		q, err := r.ReadRequest(func() error { return nil })
		if err != nil {
			return
		}
		if strings.HasPrefix(q.Path, "/discovery") {
			d.watch(conn)
			return
		}
		d.mu.Lock()
		for line := range bytes.Lines(q.Body) {
			id, how := gjson.GetBytes(line, "message").String(), gjson.GetBytes(line, "outcome").String()
			if was, ok := d.notices[id]; ok && was != how {
				d.twice++
			}
			d.notices[id] = how
		}
		d.mu.Unlock()
		if _, err := conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n")); err != nil {
			return
		}
	}
}

func (d *Discovery) watch(conn net.Conn) {
	chunk := func(s string) bool {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(s), s)
		return err == nil
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	told, spoke := 0, time.Now()
	for ok := chunk(d.list + "\n"); ok; {
		time.Sleep(20 * time.Millisecond)
		d.mu.Lock()
		news := d.changes[told:]
		d.mu.Unlock()
		told += len(news)
		for _, c := range news {
			ok = ok && chunk(c+"\n")
		}
		if time.Since(spoke) > 2*time.Second {
			spoke, ok = time.Now(), ok && chunk("\n")
		}
	}
}

// Tell changes the list: an entry takes the place of the one of its name.
func (d *Discovery) Tell(entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, len(d.changes)+2, entry))
}

// Notices returns the outcomes told so far, by id, and how many messages were told two different ones.
func (d *Discovery) Notices() (map[string]string, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]string{}
	for id, how := range d.notices {
		all[id] = how
	}
	return all, d.twice
}

// Close ends discovery.
func (d *Discovery) Close() {
	_ = d.l.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}

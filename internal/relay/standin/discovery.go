package standin

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/httpwire"
)

// Discovery streams a snapshot of the endpoints and its updates to each watcher, and receives notices of outcomes.
type Discovery struct {
	Address  string // host and port
	listener net.Listener
	snapshot string

	mu             sync.Mutex // guards all that follows
	conns          []net.Conn
	updates        []string
	notices        map[string]string // the last outcome, by the id of the message
	contradictions int               // notices whose outcome differs from that of the notice before for the same message
}

// NewDiscovery serves a snapshot, as returned by Endpoints.Snapshot, on loopback.
func NewDiscovery(snapshot string) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), listener: listener, snapshot: snapshot, notices: map[string]string{}}
	go d.accept()
	return d, nil
}

// accept serves each connection on a goroutine of its own until the listener is closed.
func (d *Discovery) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.mu.Lock()
		d.conns = append(d.conns, conn)
		d.mu.Unlock()
		go d.serve(conn)
	}
}

// serve answers the requests of a connection: notices with 204, a watch with the stream of updates, after
// which the connection is closed.
func (d *Discovery) serve(conn net.Conn) {
	defer conn.Close()
	reader := httpwire.NewReader(conn, Limits())
	for {
		request, err := reader.ReadRequest(func() error { return nil })
		if err != nil {
			return
		}
		if strings.HasPrefix(request.Path, "/discovery") {
			d.watch(conn)
			return
		}
		d.recordNotices(request.Body)
		if _, err := conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n")); err != nil {
			return
		}
	}
}

// recordNotices records the outcomes in a body, which has one JSON object a line.
func (d *Discovery) recordNotices(body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for line := range bytes.Lines(body) {
		id, outcome := gjson.GetBytes(line, "message").String(), gjson.GetBytes(line, "outcome").String()
		if earlier, ok := d.notices[id]; ok && earlier != outcome {
			d.contradictions++
		}
		d.notices[id] = outcome
	}
}

// Intervals of a watch.
const (
	pollInterval      = 20 * time.Millisecond // between two checks for updates
	heartbeatInterval = 2 * time.Second       // between two empty lines
)

// watch streams the snapshot, then each update, and heartbeats between them, until a write fails.
func (d *Discovery) watch(conn net.Conn) {
	chunk := func(text string) bool {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err == nil
	}
	if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")); err != nil {
		return
	}
	sent, lastHeartbeat := 0, time.Now()
	for ok := chunk(d.snapshot + "\n"); ok; {
		time.Sleep(pollInterval)
		d.mu.Lock()
		updates := d.updates[sent:]
		d.mu.Unlock()
		sent += len(updates)
		for _, update := range updates {
			ok = ok && chunk(update+"\n")
		}
		if time.Since(lastHeartbeat) > heartbeatInterval {
			lastHeartbeat, ok = time.Now(), ok && chunk("\n")
		}
	}
}

// PublishUpdate sends an entry, as returned by Endpoints.Entry, to all watchers. It replaces the entry of the same name.
func (d *Discovery) PublishUpdate(entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updates = append(d.updates, fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, len(d.updates)+2, entry))
}

// Notices returns the last outcome of each message, by its id, and how often a notice contradicted an earlier one.
func (d *Discovery) Notices() (outcomes map[string]string, contradictions int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.notices), d.contradictions
}

// Close closes the listener and all connections.
func (d *Discovery) Close() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		_ = conn.Close()
	}
}

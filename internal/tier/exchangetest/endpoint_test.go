package exchangetest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endpoint plays one endpoint by the scripts of the requests that it gets.
type endpoint struct {
	id       string
	address  string
	world    *world
	listener net.Listener

	mutex sync.Mutex
	conns []*memoryConn // all that ever were
}

func (e *endpoint) serve() {
	for {
		accepted, err := e.listener.Accept()
		if err != nil {
			return
		}
		conn := accepted.(*memoryConn)
		e.mutex.Lock()
		e.conns = append(e.conns, conn)
		e.mutex.Unlock()
		e.world.running.Go(func() {
			defer conn.Close()
			for ordinal := 0; e.exchange(conn, ordinal); ordinal++ {
			}
		})
	}
}

// connections returns all connections that the endpoint ever had.
func (e *endpoint) connections() []*memoryConn {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.conns
}

// crash resets all connections.
func (e *endpoint) crash() {
	for _, conn := range e.connections() {
		conn.Reset()
	}
}

// exchange takes one request and answers it. It returns false when the connection ends.
func (e *endpoint) exchange(conn *memoryConn, ordinal int) bool {
	head := conn.peekUntil("\r\n\r\n")
	if head == nil {
		return false
	}
	header := headerOf(head)
	current := e.world.begin(run{endpoint: e.id, after: eventAfter(header), conn: conn, ordinal: ordinal}, header)
	if current == nil {
		return false
	}
	defer e.world.end(current)
	script := current.script()
	length, _ := strconv.Atoi(header.Get("Content-Length"))
	if script.takes >= 0 {
		discard(conn, min(script.takes, len(head)+length))
		leave(conn, script.end)
		return false
	}
	discard(conn, len(head))
	if !script.early && !discard(conn, length) {
		return false
	}
	time.Sleep(script.delay)
	if !e.answer(conn, current) {
		return false
	}
	if script.early {
		time.Sleep(script.readOn)
		return discard(conn, length)
	}
	return true
}

// answer writes a run's answer. It returns false when the connection has ended.
func (e *endpoint) answer(conn *memoryConn, current *run) bool {
	script, wire := current.script(), current.answer()
	if script.kind == silence {
		_, err := conn.Read(make([]byte, 1))
		return err == nil
	}
	if script.cut >= 0 && script.cut < len(wire) {
		if sendSplit(conn, wire[:script.cut], script.split, script.pause) {
			e.world.wrote(current)
		}
		leave(conn, script.end)
		return false
	}
	if !sendSplit(conn, wire, script.split, script.pause) {
		return false
	}
	e.world.wrote(current)
	e.world.end(current)
	if script.extra {
		time.Sleep(script.late)
		conn.Write(wire)
	}
	if script.kind == unframed && script.end != reset && current.request.method != "HEAD" {
		return false
	}
	if script.end != stay {
		time.Sleep(script.endWait)
		script.end.apply(conn)
		return script.end == halfOnly
	}
	return true
}

// sendSplit writes data in two parts with a pause between them.
func sendSplit(conn *memoryConn, data []byte, split int, pause time.Duration) bool {
	if split >= len(data) {
		split = 0
	}
	if split > 0 {
		if _, err := conn.Write(data[:split]); err != nil {
			return false
		}
		time.Sleep(pause)
	}
	_, err := conn.Write(data[split:])
	return err == nil
}

// leave ends a connection. One that ends its own direction only goes on reading, until the other side ends too.
func leave(conn *memoryConn, how ending) {
	how.apply(conn)
	if how == halfOnly {
		io.Copy(io.Discard, struct{ io.Reader }{conn})
	}
}

// discard reads so many bytes. It returns false if they don't come.
func discard(conn *memoryConn, count int) bool {
	n, _ := io.CopyN(io.Discard, struct{ io.Reader }{conn}, int64(count))
	return int(n) == count
}

// headerOf reads the header of a request's head.
func headerOf(head []byte) textproto.MIMEHeader {
	_, fields, _ := bytes.Cut(head, []byte("\r\n"))
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return header
}

// eventAfter is the last event that the client of a request has, as the request tells.
func eventAfter(header textproto.MIMEHeader) int {
	id, _ := strconv.Atoi(strings.TrimSpace(header.Get("Last-Event-Id")))
	return id
}

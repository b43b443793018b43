package exchangetest

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pieceDelay is the pause between the pieces of a response.
const pieceDelay = time.Millisecond

// endpoint is one endpoint, which follows the scripts of the requests that it receives.
type endpoint struct {
	id       string
	address  string
	env      *environment
	listener net.Listener

	mutex sync.Mutex
	conns []*memoryConn // all accepted so far
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
		e.env.running.Go(func() {
			defer conn.Close()
			for ordinal := 0; e.exchange(conn, ordinal); ordinal++ {
			}
		})
	}
}

// connections returns all connections that the endpoint has accepted so far.
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

// exchange reads one request and answers it, both by its script. It returns false when the connection ends.
func (e *endpoint) exchange(conn *memoryConn, ordinal int) bool {
	head := conn.peekUntil("\r\n\r\n")
	if head == nil {
		return false
	}
	header := headerOf(head)
	current := e.env.attemptStarted(endpointAttempt{endpoint: e.id, lastEvent: lastEventID(header), conn: conn, ordinal: ordinal}, header)
	if current == nil {
		return false
	}
	defer e.env.attemptEnded(current)
	script := current.script()
	length, _ := strconv.Atoi(header.Get("Content-Length"))
	if script.readLimit >= 0 {
		readBytes(conn, min(script.readLimit, len(head)+length))
		disconnect(conn, script.end)
		return false
	}
	readBytes(conn, len(head))
	if !script.early && !readBytes(conn, length) {
		return false
	}
	time.Sleep(script.delay)
	if !e.answer(conn, current) {
		return false
	}
	if script.early {
		time.Sleep(script.readOnDelay)
		return readBytes(conn, length)
	}
	return true
}

// answer writes an attempt's response. It returns false when the connection has ended.
func (e *endpoint) answer(conn *memoryConn, current *endpointAttempt) bool {
	script, wire := current.script(), current.answer()
	if script.kind == noResponse {
		_, err := conn.Read(make([]byte, 1))
		return err == nil
	}
	if script.breakAfter >= 0 && script.breakAfter < len(wire) {
		if sendPieces(conn, wire[:script.breakAfter], script) {
			e.env.responseWritten(current)
		}
		disconnect(conn, script.end)
		return false
	}
	if !sendPieces(conn, wire, script) {
		return false
	}
	e.env.responseWritten(current)
	e.env.attemptEnded(current)
	if script.secondResponse {
		time.Sleep(script.secondDelay)
		_, _ = conn.Write(wire)
	}
	if script.kind == closeDelimited && script.end != resetClose && current.request.method != "HEAD" {
		return false
	}
	if script.end != keepOpen {
		time.Sleep(script.endDelay)
		script.end.apply(conn)
		return script.end == halfClose
	}
	return true
}

// sendPieces writes a response in the writes of its script, with a pause after each.
func sendPieces(conn *memoryConn, data []byte, script attemptScript) bool {
	if script.pieceSize == 0 {
		return sendSplit(conn, data, script.split, script.splitDelay)
	}
	for piece := range slices.Chunk(data, script.pieceSize) {
		if _, err := conn.Write(piece); err != nil {
			return false
		}
		time.Sleep(pieceDelay)
	}
	return true
}

// sendSplit writes data in two parts with a pause between them.
func sendSplit(conn *memoryConn, data []byte, split int, splitDelay time.Duration) bool {
	if split >= len(data) {
		split = 0
	}
	if split > 0 {
		if _, err := conn.Write(data[:split]); err != nil {
			return false
		}
		time.Sleep(splitDelay)
	}
	_, err := conn.Write(data[split:])
	return err == nil
}

// disconnect ends a connection. If it closes only its own direction, it goes on reading until the other side has closed, too.
func disconnect(conn *memoryConn, how ending) {
	how.apply(conn)
	if how == halfClose {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{conn})
	}
}

// readBytes reads count bytes. It returns false if the connection ends before.
func readBytes(conn *memoryConn, count int) bool {
	n, _ := io.CopyN(io.Discard, struct{ io.Reader }{conn}, int64(count))
	return int(n) == count
}

// headerOf parses the header fields in a request's head.
func headerOf(head []byte) textproto.MIMEHeader {
	_, fields, _ := bytes.Cut(head, []byte("\r\n"))
	header, _ := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	return header
}

// lastEventID returns the ID of the last event that a request's client has received, by its Last-Event-Id header; 0: none.
func lastEventID(header textproto.MIMEHeader) int {
	id, _ := strconv.Atoi(strings.TrimSpace(header.Get("Last-Event-Id")))
	return id
}

package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// receivedRequest is a request as an endpoint received it.
type receivedRequest struct {
	connection  int
	requestLine string
	header      textproto.MIMEHeader
	body        string
}

// id returns the request's attempt id.
func (r receivedRequest) id() string { return r.header.Get("X-Attempt-Id") }

// endpoint is a test endpoint that responds as its script says.
type endpoint struct {
	listener net.Listener
	script   func(socket net.Conn, request receivedRequest) bool // false: close the connection
	requests chan receivedRequest
	closed   chan int     // numbers of the connections that have ended
	count    atomic.Int64 // requests received
}

func newEndpoint(t *testing.T, script func(net.Conn, receivedRequest) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{listener: listener, script: script, requests: make(chan receivedRequest, 256), closed: make(chan int, 256)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 1; ; number++ {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(socket, number)
		}
	}()
	return e
}

func (e *endpoint) serve(socket net.Conn, number int) {
	defer func() { e.closed <- number }()
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		text := textproto.NewReader(reader)
		requestLine, err := text.ReadLine()
		if err != nil {
			return
		}
		header, err := text.ReadMIMEHeader()
		if err != nil {
			return
		}
		request := receivedRequest{connection: number, requestLine: requestLine, header: header}
		if length, err := strconv.Atoi(header.Get("Content-Length")); err == nil {
			body := make([]byte, length)
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			request.body = string(body)
		}
		e.count.Add(1)
		e.requests <- request
		if !e.script(socket, request) {
			return
		}
	}
}

// sealedHead returns the head of a response with a seal; fields are complete header lines.
func sealedHead(status int, request receivedRequest, fields ...string) string {
	return "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nX-Attempt-Id: " + request.id() +
		"\r\nX-Server-Seal: seal-" + request.id() + "\r\nKeep-Alive: timeout=30\r\n" + strings.Join(append(fields, ""), "\r\n") + "\r\n"
}

func withLength(body string) string { return "Content-Length: " + strconv.Itoa(len(body)) }

// respondWith sends a complete response with a Content-Length.
func respondWith(status int, body string, fields ...string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(status, request, append(fields, withLength(body))...)+body)
		return true
	}
}

// respondNotRun responds that the request was not run.
func respondNotRun(socket net.Conn, request receivedRequest) bool {
	_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+request.id()+"\r\nX-Not-Run: full\r\nRetry-After: 0.4\r\nContent-Length: 0\r\n\r\n")
	return true
}

// respondWithoutSeal sends a complete response without the endpoint's seal.
func respondWithoutSeal(socket net.Conn, request receivedRequest) bool {
	_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+request.id()+"\r\nContent-Length: 2\r\n\r\nno")
	return true
}

// respondWithoutID sends a complete response without an attempt id.
func respondWithoutID(socket net.Conn, _ receivedRequest) bool {
	_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nno")
	return true
}

// breakOffResponse closes the connection in the middle of a response.
func breakOffResponse(socket net.Conn, request receivedRequest) bool {
	_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Length: 10")+"12345")
	return false
}

// respondMisdirected responds that the address belongs to another endpoint.
func respondMisdirected(socket net.Conn, _ receivedRequest) bool {
	_, _ = io.WriteString(socket, "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
	return true
}

// respondGarbage sends bytes that are not a response.
func respondGarbage(socket net.Conn, _ receivedRequest) bool {
	_, _ = io.WriteString(socket, "\x16\x03\x01 garbage\r\n\r\n")
	return false
}

// resetConnection resets the connection after the request was read.
func resetConnection(socket net.Conn, _ receivedRequest) bool {
	_ = socket.(*net.TCPConn).SetLinger(0)
	socket.Close()
	return false
}

const (
	streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
	lastChunk  = "0\r\n\r\n"
)

// chunk encodes bytes as one chunk.
func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

// event encodes one event of a stream.
func event(id int, data string) string {
	return "id: " + strconv.Itoa(id) + "\ndata: " + data + "\n\n"
}

// stream responds with events, each in its own chunk.
func stream(events ...string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		text := sealedHead(200, request, streamHead)
		for _, one := range events {
			text += chunk(one)
		}
		_, _ = io.WriteString(socket, text+lastChunk)
		return true
	}
}

// brokenOff stands in place of a status for a response that begins and is then interrupted.
const brokenOff = 0

// noFragment, headFragment and eventFragment are the parts of a response that an endpoint sends before it hangs: nothing, the head of
// a stream, or a head and an event.
func noFragment(receivedRequest) string { return "" }

func headFragment(request receivedRequest) string { return sealedHead(200, request, streamHead) }

func eventFragment(request receivedRequest) string {
	return headFragment(request) + chunk(event(1, "one"))
}

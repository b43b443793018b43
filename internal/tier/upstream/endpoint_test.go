package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/upstream"
)

// received is a request as the endpoint received it.
type received struct {
	connection int    // number of the connection, from 1
	line       string // request line
	header     textproto.MIMEHeader
	body       []byte
	raw        []byte // head of the request, byte for byte
}

// endpoint is a test server on a raw TCP listener. It records the requests and responds with a function of the test.
type endpoint struct {
	t        *testing.T
	listener net.Listener
	answer   func(socket net.Conn, request received) bool // responds to a request; false: close the connection

	mutex       sync.Mutex
	requests    []received
	connections int
	closed      chan int // numbers of connections that have ended
}

// newEndpoint starts an endpoint that runs until the end of the test.
func newEndpoint(t *testing.T, answer func(net.Conn, received) bool) *endpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, listener: listener, answer: answer, closed: make(chan int, 64)}
	t.Cleanup(func() { listener.Close() })
	go e.accept()
	return e
}

// accept serves connections until the listener is closed.
func (e *endpoint) accept() {
	for {
		socket, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mutex.Lock()
		e.connections++
		number := e.connections
		e.mutex.Unlock()
		go e.serve(socket, number)
	}
}

// serve handles the requests on one connection.
func (e *endpoint) serve(socket net.Conn, number int) {
	defer func() { e.closed <- number }()
	defer socket.Close()
	reader := bufio.NewReader(socket)
	for {
		request, err := readRequest(reader)
		if err != nil {
			return
		}
		request.connection = number
		e.mutex.Lock()
		e.requests = append(e.requests, request)
		e.mutex.Unlock()
		if !e.answer(socket, request) {
			return
		}
	}
}

// readRequest reads one request whose body, if any, has a Content-Length.
func readRequest(reader *bufio.Reader) (received, error) {
	var request received
	var raw bytes.Buffer
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return request, err
		}
		raw.WriteString(line)
		if line == "\r\n" {
			break
		}
	}
	request.raw = raw.Bytes()
	head := textproto.NewReader(bufio.NewReader(bytes.NewReader(request.raw)))
	request.line, _ = head.ReadLine()
	request.header, _ = head.ReadMIMEHeader()
	if length, err := strconv.Atoi(request.header.Get("Content-Length")); err == nil {
		request.body = make([]byte, length)
		if _, err := io.ReadFull(reader, request.body); err != nil {
			return request, err
		}
	}
	return request, nil
}

// target returns the endpoint's address under an endpoint ID.
func (e *endpoint) target(id string) upstream.Endpoint {
	return upstream.Endpoint{ID: id, Address: e.listener.Addr().String()}
}

// seen returns the requests received so far, and the number of connections.
func (e *endpoint) seen() ([]received, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]received(nil), e.requests...), e.connections
}

// respond writes a response with status 200, a Content-Length and the X-Attempt-Id of the request.
func respond(socket net.Conn, request received, body string, fields ...string) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header.Get("X-Attempt-Id") + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n"
	for _, field := range fields {
		head += field + "\r\n"
	}
	_, _ = io.WriteString(socket, head+"\r\n"+body)
}

// reset closes a connection with a TCP reset.
func reset(socket net.Conn) {
	_ = socket.(*net.TCPConn).SetLinger(0)
	socket.Close()
}

// newPool returns a pool that is closed at the end of the test.
func newPool(t *testing.T, options upstream.Options) *upstream.Pool {
	t.Helper()
	pool := upstream.NewPool(options)
	t.Cleanup(pool.Close)
	return pool
}

// newRequest returns a request with an X-Attempt-Id and a body of the given parts.
func newRequest(method, target, id string, body ...string) *upstream.Request {
	request := &upstream.Request{Method: method, Target: target, Host: "service.example", AttemptID: id}
	request.Fields = upstream.AppendField(nil, "X-Attempt-Id", id)
	for _, part := range body {
		request.Body = append(request.Body, []byte(part))
		request.HasBody = true
	}
	return request
}

// exchange sends a request and returns the body of its response.
func exchange(t *testing.T, pool *upstream.Pool, to upstream.Endpoint, request *upstream.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	response, err := pool.Do(ctx, to, request)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

// headLines returns the lines of a request's head.
func headLines(raw []byte) []string {
	return strings.Split(strings.TrimRight(string(raw), "\r\n"), "\r\n")
}

package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// client is a raw connection to the proxy.
type client struct {
	t      *testing.T
	socket net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	socket, err := net.Dial("tcp4", f.proxy.FrontAddress().String())
	if err != nil {
		f.t.Fatal(err)
	}
	_ = socket.SetDeadline(time.Now().Add(10 * time.Second))
	f.t.Cleanup(func() { socket.Close() })
	return &client{t: f.t, socket: socket, reader: bufio.NewReader(socket)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.socket, text); err != nil {
		c.t.Fatal(err)
	}
}

// request sends a request with a body of known length.
func (c *client) request(method, target, id, body string, fields ...string) {
	c.t.Helper()
	head := method + " " + target + " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id + "\r\n"
	if body != "" {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	for _, field := range fields {
		head += field + "\r\n"
	}
	c.send(head + "\r\n" + body)
}

// receivedResponse is a response with its complete body, or with the error that ended the body.
type receivedResponse struct {
	status int
	header http.Header
	body   string
	close  bool // the connection ends with the response
	err    error
}

// readHead reads the head of a response.
func (c *client) readHead(method string) *http.Response {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.t.Fatalf("no response: %v", err)
	}
	return response
}

func (c *client) readResponse(method string) receivedResponse {
	c.t.Helper()
	response := c.readHead(method)
	body, err := io.ReadAll(response.Body)
	return receivedResponse{response.StatusCode, response.Header, string(body), response.Close, err}
}

// closedSilently reports whether the connection ends without any byte.
func (c *client) closedSilently() bool {
	n, err := c.reader.Read(make([]byte, 1))
	return n == 0 && err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

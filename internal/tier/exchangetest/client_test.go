package exchangetest

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// frontAddress is where the proxy accepts clients' connections.
const frontAddress = "10.0.0.1:80"

// clientResult is what a client received for a request.
type clientResult struct {
	request             *requestScript
	startedAt           time.Time // when its first byte was sent
	answered            bool      // the head of a response was received
	status              int
	header              http.Header
	body                []byte
	err                 error     // error that ended the response; nil: it looks complete
	disconnectedAt      time.Time // when the client disconnected before its response; zero: it didn't
	unansweredPipelined bool      // pipelined, but the connection closed after the response to an earlier request
	surplus             []byte    // bytes received after the response
}

// client sends requests one after the other, on the same connection as long as that stays open.
type client struct {
	env      *environment
	requests []*requestScript
	conn     *memoryConn
	reader   *bufio.Reader
	results  []clientResult
}

func (c *client) run() {
	for i := 0; i < len(c.requests); i++ {
		request := c.requests[i]
		time.Sleep(request.startDelay)
		if c.conn == nil && !c.connect() {
			continue
		}
		if request.pipelined && i+1 < len(c.requests) {
			i++
			c.pipeline(request, c.requests[i])
			continue
		}
		result := clientResult{request: request, startedAt: time.Now()}
		keep := c.send(request)
		switch {
		case request.disconnects():
			time.Sleep(request.disconnectDelay)
			c.disconnect(&result)
			keep = false
		case keep:
			time.Sleep(request.readStall)
			keep = c.read(&result)
		}
		c.results = append(c.results, result)
		if !keep {
			c.close()
		}
	}
	c.close()
}

// pipeline sends two requests and then reads the responses. The time of the second request starts with the end of the first response: the
// proxy can't know how long the second request has waited behind the first.
func (c *client) pipeline(first, second *requestScript) {
	began := time.Now()
	results := []clientResult{{request: first, startedAt: began}, {request: second, startedAt: began}}
	keep := c.send(first) && c.send(second)
	for i := range results {
		if !keep {
			results[i].unansweredPipelined = true
			continue
		}
		results[i].startedAt = began
		keep = c.read(&results[i])
		began = time.Now()
	}
	c.results = append(c.results, results...)
	if !keep {
		c.close()
	}
}

func (c *client) connect() bool {
	conn, err := c.env.network.dial(context.Background(), frontAddress)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// send writes a request, or the part of it after which the client disconnects.
func (c *client) send(request *requestScript) bool {
	wire := request.wire()
	if request.sendLimit >= 0 {
		wire = wire[:min(request.sendLimit, len(wire))]
	}
	return sendSplit(c.conn, wire, request.split, request.splitDelay)
}

// disconnect ends the connection without waiting for the response. A client that has only closed its own direction still reads the
// response.
func (c *client) disconnect(result *clientResult) {
	result.disconnectedAt = time.Now()
	result.request.disconnect.apply(c.conn)
	if result.request.disconnect == halfClose {
		c.read(result)
	}
}

// read reads a response. It returns false if the connection can't carry a further request.
func (c *client) read(result *clientResult) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: result.request.method})
	if err != nil {
		result.err = err
		return false
	}
	result.answered, result.status, result.header = true, response.StatusCode, response.Header
	result.body, result.err = io.ReadAll(response.Body)
	return result.err == nil && !response.Close
}

// close reads what arrives after the last complete response, and closes the connection.
func (c *client) close() {
	if c.conn == nil {
		return
	}
	if last := len(c.results) - 1; last >= 0 && c.results[last].complete() && c.results[last].disconnectedAt.IsZero() {
		_ = c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		surplus, _ := io.ReadAll(c.reader)
		c.results[last].surplus = bytes.TrimSpace(surplus)
	}
	c.conn.Close()
	c.conn = nil
}

// truncated reports whether a response has begun and doesn't look complete.
func (result *clientResult) truncated() bool { return result.answered && result.err != nil }

// complete reports whether a response looks complete.
func (result *clientResult) complete() bool { return result.answered && result.err == nil }

package exchangetest

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"time"
)

// frontAddress is where the proxy takes clients.
const frontAddress = "10.0.0.1:80"

// got is what a client got for a request.
type got struct {
	request  *requestScript
	began    time.Time // when its first byte was sent
	answered bool      // a head came
	status   int
	header   http.Header
	body     []byte
	err      error     // at which the body ended; nil: it looks complete
	left     time.Time // when the client left; zero: it didn't
	unread   bool      // it was sent ahead, and its connection ended with the answer before
	surplus  []byte    // bytes behind the answer
}

// client sends requests, one after the other, on as few connections as it can.
type client struct {
	world    *world
	requests []*requestScript
	conn     *memoryConn
	reader   *bufio.Reader
	results  []got
}

func (c *client) run() {
	for i := 0; i < len(c.requests); i++ {
		request := c.requests[i]
		time.Sleep(request.before)
		if c.conn == nil && !c.connect() {
			continue
		}
		if request.ahead && i+1 < len(c.requests) {
			i++
			c.both(request, c.requests[i])
			continue
		}
		result := got{request: request, began: time.Now()}
		keep := c.send(request)
		switch {
		case request.leaves():
			time.Sleep(request.waits)
			c.leave(&result)
			keep = false
		case keep:
			time.Sleep(request.stalls)
			keep = c.read(&result)
		}
		c.results = append(c.results, result)
		if !keep {
			c.close()
		}
	}
	c.close()
}

// both sends two requests and then reads the answers. The second one's time begins once its turn has come: the proxy can't know
// how long it lay behind the first.
func (c *client) both(first, second *requestScript) {
	began := time.Now()
	results := []got{{request: first, began: began}, {request: second, began: began}}
	keep := c.send(first) && c.send(second)
	for i := range results {
		if !keep {
			results[i].unread = true
			continue
		}
		results[i].began = began
		keep = c.read(&results[i])
		began = time.Now()
	}
	c.results = append(c.results, results...)
	if !keep {
		c.close()
	}
}

func (c *client) connect() bool {
	conn, err := c.world.network.dial(context.Background(), frontAddress)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// send writes a request, or the part of it after which the client leaves.
func (c *client) send(request *requestScript) bool {
	wire := request.wire()
	if request.sent >= 0 {
		wire = wire[:min(request.sent, len(wire))]
	}
	return sendSplit(c.conn, wire, request.split, request.pause)
}

// leave ends the connection without waiting for the answer. What comes to one that ended its own direction only is read.
func (c *client) leave(result *got) {
	result.left = time.Now()
	result.request.leave.apply(c.conn)
	if result.request.leave == halfOnly {
		c.read(result)
	}
}

// read reads an answer. It returns false when the connection carries no further request.
func (c *client) read(result *got) bool {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: result.request.method})
	if err != nil {
		result.err = err
		return false
	}
	result.answered, result.status, result.header = true, response.StatusCode, response.Header
	result.body, result.err = io.ReadAll(response.Body)
	return result.err == nil && !response.Close
}

// close reads what nobody asked for, and closes the connection.
func (c *client) close() {
	if c.conn == nil {
		return
	}
	if last := len(c.results) - 1; last >= 0 && c.results[last].complete() && c.results[last].left.IsZero() {
		c.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		surplus, _ := io.ReadAll(c.reader)
		c.results[last].surplus = bytes.TrimSpace(surplus)
	}
	c.conn.Close()
	c.conn = nil
}

// cutOff tells whether an answer has begun and not looked complete.
func (g *got) cutOff() bool { return g.answered && g.err != nil }

// complete tells whether an answer looked complete.
func (g *got) complete() bool { return g.answered && g.err == nil }

package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/httpwire"
)

// Message is a message that a client submits.
type Message struct {
	ID, Key, Class string        // Key is the idempotency key; empty: none
	Partner        int           // number of the partner that receives it
	Timeout        time.Duration // sent to the millisecond
	Body           string
	Header         []string // further headers, names and values alternating
}

// Client submits messages to a relay, over as many connections as it needs at once. It keeps idle ones for later messages.
type Client struct {
	Address string // host and port of the relay

	mu     sync.Mutex // guards idle
	idle   []*clientConn
	limits *config.Limits
}

// clientConn is a connection to the relay, used by one request at a time.
type clientConn struct {
	net.Conn
	reader *httpwire.Reader
}

// NewClient returns a client of the relay at address.
func NewClient(address string) *Client { return &Client{Address: address, limits: Limits()} }

// Send submits a message and returns status and body of the response; a status of 0 means that there was none. It retries once on
// a new connection if an idle one fails, since the relay may have closed it between two requests.
func (c *Client) Send(ctx context.Context, m *Message) (status int, body string) {
	request := c.encode(m)
	for attempt := range 2 {
		conn, reused, err := c.connection(ctx, attempt > 0)
		if err != nil {
			return 0, ""
		}
		if status, body, err = c.exchange(ctx, conn, request); err == nil {
			return status, body
		}
		if !reused {
			return 0, ""
		}
	}
	return 0, ""
}

// encode encodes the request that submits a message.
func (c *Client) encode(m *Message) []byte {
	header := append([]string{"X-Request-ID", m.ID, "X-Timeout", fmt.Sprintf("%dm", m.Timeout.Milliseconds()),
		"X-Envelope", fmt.Sprintf("dest=%d", m.Partner)}, m.Header...)
	if m.Key != "" {
		header = append(header, "Idempotency-Key", m.Key)
	}
	return httpwire.AppendRequest(nil, "POST", "/"+m.Class, c.Address, header, []byte(m.Body))
}

// exchange sends a request and reads the response, up to the deadline of ctx. Afterwards the connection is idle or closed. The
// body must be copied before the connection becomes idle, since it lies in the reader's buffer.
func (c *Client) exchange(ctx context.Context, conn *clientConn, request []byte) (status int, body string, err error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err = conn.Write(request); err != nil {
		_ = conn.Close()
		return 0, "", err
	}
	response, err := conn.reader.ReadResponse()
	if err != nil {
		_ = conn.Close()
		return 0, "", err
	}
	status, body = response.Status, string(response.Body)
	if response.Close {
		_ = conn.Close()
		return status, body, nil
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return status, body, nil
}

// connection returns the connection that became idle last, or a new one: always a new one if fresh.
func (c *Client) connection(ctx context.Context, fresh bool) (conn *clientConn, reused bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	c.mu.Unlock()
	if conn != nil {
		return conn, true, nil
	}
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{raw, httpwire.NewReader(raw, c.limits)}, false, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}

// WaitUntilServing waits until the relay at address answers GET /up with 200, and reports whether it did within 400 attempts, which
// take ten seconds if each is refused at once.
func WaitUntilServing(ctx context.Context, address string) bool {
	pool := httpwire.NewPool(Limits())
	request := httpwire.AppendRequest(nil, "GET", "/up", address, nil, nil)
	for range 400 {
		up := false
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		pool.Do(attempt, httpwire.Peer{Address: address}, request, nil, func(p *httpwire.Response) { up = p.Status == 200 })
		cancel()
		if up {
			return true
		}
		time.Sleep(25 * time.Millisecond)
	}
	return false
}

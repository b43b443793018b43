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

// Message is one that a client hands in.
type Message struct {
	ID, Key, Class string
	Partner        int
	Timeout        time.Duration
	Body           string
	Header         []string // further headers, names and values in turn
}

// Client hands messages to a relay over as many connections as it needs.
type Client struct {
	Address string

	mu   sync.Mutex
	idle []*conn
	lim  *config.Limits
}

type conn struct {
	net.Conn
	r *httpwire.Reader
}

// NewClient returns a client of the relay at address.
func NewClient(address string) *Client { return &Client{Address: address, lim: Limits()} }

// Send hands in one message and returns the answer's status; 0: there was none.
func (c *Client) Send(ctx context.Context, m *Message) (status int, body string) {
	head := append([]string{"X-Request-ID", m.ID, "X-Timeout", fmt.Sprintf("%dm", m.Timeout.Milliseconds()),
		"X-Envelope", fmt.Sprintf("dest=%d", m.Partner)}, m.Header...)
	if m.Key != "" {
		head = append(head, "Idempotency-Key", m.Key)
	}
	request := httpwire.AppendRequest(nil, "POST", "/"+m.Class, c.Address, head, []byte(m.Body))
	for try := range 2 { // a connection may have been closed between two requests: once more on a new one
		k, used, err := c.take(ctx, try > 0)
		if err != nil {
			return 0, ""
		}
		if t, ok := ctx.Deadline(); ok {
			_ = k.SetDeadline(t)
		}
		_, err = k.Write(request)
		if err == nil {
			var p *httpwire.Response
			if p, err = k.r.ReadResponse(); err == nil {
				status, body = p.Status, string(p.Body)
				if p.Close {
					_ = k.Close()
				} else {
					c.mu.Lock()
					c.idle = append(c.idle, k)
					c.mu.Unlock()
				}
				return status, body
			}
		}
		_ = k.Close()
		if !used {
			return 0, ""
		}
	}
	return 0, ""
}

func (c *Client) take(ctx context.Context, fresh bool) (k *conn, used bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		k = c.idle[n-1]
		c.idle = c.idle[:n-1]
	}
	c.mu.Unlock()
	if k != nil {
		return k, true, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return nil, false, err
	}
	return &conn{raw, httpwire.NewReader(raw, c.lim)}, false, nil
}

// Close ends the connections that are idle.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		_ = k.Close()
	}
	c.idle = nil
}

// Spare is an address on loopback that nobody listens at now.
func Spare() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Up waits until a relay serves at an address; false: it does not within ten seconds or so.
func Up(ctx context.Context, address string) bool {
	pool := httpwire.NewPool(Limits())
	request := httpwire.AppendRequest(nil, "GET", "/up", address, nil, nil)
	for range 400 {
		ok := false
		within, cancel := context.WithTimeout(ctx, time.Second)
		pool.Do(within, httpwire.Peer{Address: address}, request, nil, func(p *httpwire.Response) { ok = p.Status == 200 })
		cancel()
		if ok {
			return true
		}
		time.Sleep(25 * time.Millisecond)
	}
	return false
}

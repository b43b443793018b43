package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"

	"mastusher/internal/tier/network"
)

// clientConn is a client's connection. It records whether a request has begun on it, so that a shutdown closes it only while no byte
// of a request has been read.
type clientConn struct {
	network.TCPConn

	mutex   sync.Mutex // guards the fields below
	idle    bool       // no byte of the next request has been read
	closing bool       // no further request may be read
}

// Read reads from the client. While the connection is closing, it does not return the first bytes of a request.
func (c *clientConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idle && c.closing {
		return 0, net.ErrClosed
	}
	c.idle = false
	return n, err
}

// setResetOnClose makes every close of the connection a reset, or restores the default.
func (c *clientConn) setResetOnClose(on bool) {
	seconds := -1
	if on {
		seconds = 0
	}
	_ = c.TCPConn.SetLinger(seconds)
}

// responseSent records that a response has been sent and the next request may arrive.
func (c *clientConn) responseSent() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = true
	if c.closing {
		c.TCPConn.Close()
	}
}

// closeWhenIdle closes the connection if no request has begun on it, or otherwise once the response has been sent.
func (c *clientConn) closeWhenIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
	if c.idle {
		c.TCPConn.Close()
	}
}

// beginRequest records that a request has been read. It returns false if the connection has already been closed. That happens to a
// request that net/http had buffered along with the previous one: none of its bytes passed through Read.
func (c *clientConn) beginRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing && c.idle {
		return false
	}
	c.idle = false
	return true
}

// clientConnKey is the key of the clientConn in a request's context.
type clientConnKey struct{}

// withClientConn is the ConnContext hook of a server.
func withClientConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, connection)
}

// clientConnOf returns the connection on which a request arrived, or nil.
func clientConnOf(r *http.Request) *clientConn {
	connection, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return connection
}

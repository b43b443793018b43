package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"

	"mastusher/internal/tier/network"
)

// clientConn is a connection of a client. It knows whether a request has begun on it, so that a shutdown closes it
// only while none of a request's bytes have been read.
type clientConn struct {
	network.TCPConn

	mutex   sync.Mutex // guards all below
	idle    bool       // no byte of a next request has been read
	closing bool       // no further request is to be read
}

// Read reads from the client. Once the connection is closing, it gives out no first bytes of a request.
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

// setResetOnClose makes every close of the connection a reset, or takes that back.
func (c *clientConn) setResetOnClose(on bool) {
	seconds := -1
	if on {
		seconds = 0
	}
	_ = c.TCPConn.SetLinger(seconds)
}

// responseSent records that a response has gone out and the next request may come.
func (c *clientConn) responseSent() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle = true
	if c.closing {
		c.TCPConn.Close()
	}
}

// closeWhenIdle closes the connection if no request has begun on it, and else once its response has gone out.
func (c *clientConn) closeWhenIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
	if c.idle {
		c.TCPConn.Close()
	}
}

// beginRequest records that a request has been read. It returns false if the connection was closed before: the library may have
// had the request in its buffer already, and then no byte of it has passed Read.
func (c *clientConn) beginRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing && c.idle {
		return false
	}
	c.idle = false
	return true
}

// clientConnKey finds the clientConn in a request's context.
type clientConnKey struct{}

// withClientConn is a server's ConnContext.
func withClientConn(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, connection)
}

// clientConnOf returns the connection that a request came on, or nil.
func clientConnOf(r *http.Request) *clientConn {
	connection, _ := r.Context().Value(clientConnKey{}).(*clientConn)
	return connection
}

package proxy

import (
	"context"
	"net"
	"net/http"
	"sync"

	"mastusher/internal/tier/httphead"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/network"
)

// clientConn is a client's connection. It records whether a request has begun on it, so that a shutdown closes it only while no byte
// of a request has been read.
type clientConn struct {
	network.TCPConn

	lease     *memorybudget.Lease // of the connection and the heads that arrive on it
	moreBytes int64               // of the lease, for an enlarged receive buffer; belongs to the goroutine that serves the connection

	mutex     sync.Mutex     // guards the fields below
	idle      bool           // no byte of the next request has been read
	closing   bool           // no further request may be read
	inRequest bool           // a request's head has been read, and its response isn't complete
	head      httphead.Meter // of the current head
}

// Memory of a client's connection, in bytes.
const (
	// clientReceiveBuffer is the receive buffer requested of the system, which takes twice as much: it bounds the bytes that a client can
	// send before they are read.
	clientReceiveBuffer = 16 << 10
	// bodyReceiveBuffer is the receive buffer requested once a large body is read, and the memory that the connection takes more from then
	// on: the system may drop what has arrived if the buffer shrinks.
	bodyReceiveBuffer = 128 << 10
	// connectionBytes is what a connection takes: its receive buffer, its goroutine, and net/http's buffers.
	connectionBytes = 32 << 10
)

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
	if !c.inRequest && !c.reserveHead(buffer[:n]) {
		return 0, memorybudget.ErrHeadRefused
	}
	return n, err
}

// reserveHead reserves memory for the next bytes of a head. The caller holds the mutex.
func (c *clientConn) reserveHead(data []byte) bool {
	c.lease.Progressed(len(data))
	return c.lease.TryGrow(memorybudget.Connections, c.head.Add(data))
}

// awaitHead says that the client is to send a head. It may be made to give its connection back.
func (c *clientConn) awaitHead() {
	c.lease.AwaitCaller(func() { c.TCPConn.Close() })
}

// setResetOnClose makes every close of the connection a reset, or restores the default.
func (c *clientConn) setResetOnClose(on bool) {
	seconds := -1
	if on {
		seconds = 0
	}
	_ = c.TCPConn.SetLinger(seconds)
}

// enlargeReceiveBuffer lets a large body arrive faster, if there is memory for that. It belongs to the goroutine that serves the connection.
func (c *clientConn) enlargeReceiveBuffer() {
	socket, ok := c.TCPConn.(interface{ SetReadBuffer(bytes int) error })
	if !ok || c.moreBytes > 0 || !c.lease.TryGrow(memorybudget.Connections, bodyReceiveBuffer) {
		return
	}
	c.moreBytes = bodyReceiveBuffer
	_ = socket.SetReadBuffer(bodyReceiveBuffer) // without it the body arrives more slowly
}

// responseSent records that a response has been sent and the next request may arrive.
func (c *clientConn) responseSent() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idle, c.inRequest, c.head = true, false, httphead.Meter{}
	c.lease.ShrinkTo(memorybudget.Connections, connectionBytes+c.moreBytes)
	if c.closing {
		c.TCPConn.Close()
		return
	}
	c.awaitHead()
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

// beginRequest records that a request's head has been read. It returns false if the connection has already been closed: to give back its
// memory, or by a shutdown in which net/http had buffered the head along with the previous request, so that none of it passed through Read.
func (c *clientConn) beginRequest() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closing && c.idle {
		return false
	}
	c.idle, c.inRequest = false, true
	return !c.lease.StopAwaiting()
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

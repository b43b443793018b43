package memorybudget

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"mastusher/internal/tier/httphead"
)

// NewListener returns a listener that closes connections for which the budget has no memory. Each connection takes some bytes of the class
// Connections until it is closed, and what the head of a request takes until the next one. The server must have ConnState as its hook, so that
// idle connections give way to new ones.
func NewListener(inner net.Listener, budget *Budget, connectionBytes int64) net.Listener {
	if budget == nil {
		return inner
	}
	return &listener{Listener: inner, budget: budget, connectionBytes: connectionBytes}
}

type listener struct {
	net.Listener
	budget          *Budget
	connectionBytes int64
}

// Accept returns the next connection for which there is memory.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lease, err := l.budget.TryReserve(Connections, l.connectionBytes)
		if err == nil {
			return &connection{Conn: accepted, lease: lease, bytes: l.connectionBytes, release: sync.OnceFunc(lease.Release)}, nil
		}
		accepted.Close()
	}
}

// connection gives its memory back when it is closed.
type connection struct {
	net.Conn
	lease   *Lease
	bytes   int64 // of the lease, without a head
	release func()

	mutex sync.Mutex     // guards head
	head  httphead.Meter // of the request that arrives, or arrived last
}

// ErrHeadRefused is the read error of a head for which there is no memory.
var ErrHeadRefused = errors.New("no memory for the head of a request")

// Read reads from the caller, and reserves what a head takes.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 && !c.reserveHead(buffer[:n]) {
		return 0, ErrHeadRefused
	}
	return n, err
}

// reserveHead reserves memory for the next bytes of a head. Those after its end take none.
func (c *connection) reserveHead(data []byte) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.lease.TryGrow(Connections, c.head.Add(data))
}

// forgetHead gives back what a head took.
func (c *connection) forgetHead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.head = httphead.Meter{}
	c.lease.ShrinkTo(Connections, c.bytes)
}

// ConnState is the hook of an http.Server for the connections of a listener from NewListener. A connection without a request gives way if
// others find no memory.
func ConnState(accepted net.Conn, state http.ConnState) {
	c, ok := accepted.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.forgetHead()
		c.lease.AwaitCaller(func() { c.Close() })
	case http.StateActive:
		c.lease.StopAwaiting()
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, if the connection can.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

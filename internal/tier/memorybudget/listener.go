package memorybudget

import (
	"net"
	"net/http"
	"sync"
)

// NewListener returns a listener that closes connections for which the budget has no memory. Each connection takes some bytes of the class
// Connections until it is closed. The server must have ConnState as its hook, so that idle connections give way to new ones.
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
			return &connection{Conn: accepted, lease: lease, release: sync.OnceFunc(lease.Release)}, nil
		}
		accepted.Close()
	}
}

// connection gives its memory back when it is closed.
type connection struct {
	net.Conn
	lease   *Lease
	release func()
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

package proxy

import (
	"net"
	"sync"
)

// connListener is a net.Listener that returns the connections passed to deliver.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// newConnListener returns a listener with the address of the frontend's listener.
func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// deliver passes a connection to Accept. It returns false if the listener is closed.
func (l *connListener) deliver(connection net.Conn) bool {
	select {
	case l.conns <- connection:
		return true
	case <-l.closed:
		return false
	}
}

// Accept returns the next delivered connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.conns:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and deliver return.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the frontend's listener.
func (l *connListener) Addr() net.Addr { return l.address }

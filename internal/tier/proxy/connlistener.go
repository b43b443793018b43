package proxy

import (
	"net"
	"sync"
)

// feed is a listener whose connections are put into it.
type feed struct {
	address net.Addr
	waiting chan net.Conn
	closing chan struct{}
	once    sync.Once
}

func newFeed(address net.Addr) *feed {
	return &feed{address: address, waiting: make(chan net.Conn), closing: make(chan struct{})}
}

// put hands a connection to the server. It returns false if that has been shut down.
func (l *feed) put(connection net.Conn) bool {
	select {
	case l.waiting <- connection:
		return true
	case <-l.closing:
		return false
	}
}

// Accept returns the next connection.
func (l *feed) Accept() (net.Conn, error) {
	select {
	case connection := <-l.waiting:
		return connection, nil
	case <-l.closing:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return.
func (l *feed) Close() error {
	l.once.Do(func() { close(l.closing) })
	return nil
}

// Addr returns where the connections come in.
func (l *feed) Addr() net.Addr { return l.address }

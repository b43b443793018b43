package memorynetwork

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
)

// maxBacklog bounds the connections waiting to be accepted; further SYNs are dropped.
const maxBacklog = 512

// listener accepts connections for a process.
type listener struct {
	process *Process
	address *net.TCPAddr
	changed *sync.Cond
	backlog []*endpoint
	closed  bool
}

// Listen implements network.Network.
func (p *Process) Listen(_ context.Context, _ *net.ListenConfig, network, address string) (net.Listener, error) {
	at, err := p.machine.parseListenAddress(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: err}
	}
	n := p.machine.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if p.killed {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: at, Err: net.ErrClosed}
	}
	if p.machine.listeners[uint16(at.Port)] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Addr: at, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	opened := &listener{process: p, address: at, changed: sync.NewCond(&n.mutex)}
	p.machine.listeners[uint16(at.Port)] = opened
	p.sockets[opened] = struct{}{}
	return opened, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	l.process.machine.network.mutex.Lock()
	defer l.process.machine.network.mutex.Unlock()
	for {
		switch {
		case l.closed:
			return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
		case l.process.machine.frozen:
		case len(l.backlog) > 0:
			accepted := l.backlog[0]
			l.backlog = l.backlog[1:]
			return accepted, nil
		}
		l.changed.Wait()
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.process.machine.network.mutex.Lock()
	defer l.process.machine.network.mutex.Unlock()
	if l.closed {
		return &net.OpError{Op: "close", Net: "tcp", Addr: l.address, Err: net.ErrClosed}
	}
	l.kill()
	return nil
}

// kill closes the listener and resets the connections that are not accepted yet. The caller holds the mutex.
func (l *listener) kill() {
	l.closed = true
	delete(l.process.machine.listeners, uint16(l.address.Port))
	delete(l.process.sockets, l)
	for _, waiting := range l.backlog {
		waiting.resetOnClose = true
		waiting.close()
	}
	l.backlog = nil
	l.changed.Broadcast()
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

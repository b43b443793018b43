package exchangetest

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

// memoryNetwork is a network in memory. Only the proxy uses Dial, and only the proxy listens on frontAddress; both kinds of sockets are
// tracked, so that kill can close them.
type memoryNetwork struct {
	mutex         sync.Mutex
	listeners     map[string]*memoryListener
	clientSides   []*memoryConn // the proxy's sides of its connections to clients
	endpointSides []*memoryConn // the proxy's sides of its connections to endpoints
	killed        bool
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener)}
}

// Listen implements network.Network.
func (m *memoryNetwork) Listen(_ context.Context, _ *net.ListenConfig, _, address string) (net.Listener, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &memoryListener{network: m, address: tcp, waiting: make(chan *memoryConn), closing: make(chan struct{})}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.listeners[address] = l
	return l, nil
}

// ListenPacket implements network.Network; no datagrams are sent here.
func (m *memoryNetwork) ListenPacket(*net.UDPAddr) (network.PacketConn, error) {
	return nil, errors.ErrUnsupported
}

// Dial implements network.Network.
func (m *memoryNetwork) Dial(ctx context.Context, _ *net.Dialer, _, address string) (net.Conn, error) {
	conn, err := m.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if !m.track(&m.endpointSides, conn) {
		conn.Close()
		return nil, syscall.ECONNABORTED
	}
	return conn, nil
}

// track records one of the proxy's sockets. It returns false if the proxy has been killed.
func (m *memoryNetwork) track(list *[]*memoryConn, conn *memoryConn) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	*list = append(*list, conn)
	return !m.killed
}

// kill closes all of the proxy's sockets, as the operating system does when a process is killed.
func (m *memoryNetwork) kill() {
	m.mutex.Lock()
	m.killed = true
	conns := append(slices.Clone(m.clientSides), m.endpointSides...)
	m.mutex.Unlock()
	for _, conn := range conns {
		conn.Close()
	}
}

func (m *memoryNetwork) dial(ctx context.Context, address string) (*memoryConn, error) {
	timer := time.NewTimer(2 * latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	m.mutex.Lock()
	l := m.listeners[address]
	m.mutex.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := newConnPair(l.address)
	if address == frontAddress && !m.track(&m.clientSides, far) {
		return nil, syscall.ECONNREFUSED
	}
	select {
	case l.waiting <- far:
		return near, nil
	case <-l.closing:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener is one address of a memoryNetwork.
type memoryListener struct {
	network *memoryNetwork
	address net.Addr
	waiting chan *memoryConn
	closing chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.waiting:
		return conn, nil
	case <-l.closing:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closing)
		l.network.mutex.Lock()
		defer l.network.mutex.Unlock()
		delete(l.network.listeners, l.address.String())
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

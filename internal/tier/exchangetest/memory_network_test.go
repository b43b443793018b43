// Package exchangetest runs scripted clients and endpoints around the real proxy, over connections in memory and in virtual time.
//
// A scenario says byte by byte what each client, endpoint and store does: splits, delays, disconnects, late and second responses.
// After a run the oracle reads every byte on every connection and checks the invariants of package proxy: whose bytes each are,
// how often each request was sent, and whether a response that broke off looks incomplete. Scenarios come from seeds
// (TestCampaign), from the fuzzer, or try one thing at each byte (boundary_test.go). Everything here is test code.
package exchangetest

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

const (
	// latency is the time that bytes, and the end of a connection, take from one side to the other.
	latency = time.Millisecond
	// windowBytes bounds what is on the way or unread in one direction.
	windowBytes = 64 << 10
)

// memoryNetwork is a network in memory. Dial and the front address are the proxy's.
type memoryNetwork struct {
	mutex         sync.Mutex
	listeners     map[string]*memoryListener
	clientSides   []*memoryConn // the proxy's sides of its connections to clients
	endpointSides []*memoryConn // and to endpoints
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

// kill closes all of the proxy's sockets, as the system does when a process is killed.
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

// arrival is a time and the number of bytes that had arrived before it.
type arrival struct {
	at     time.Time
	offset int
}

// inbound is what comes in at one side of a connection.
type inbound struct {
	inTransit int    // bytes sent and not arrived
	unread    []byte // bytes arrived and not read
	closed    bool   // the other side's orderly end has arrived
	reset     bool   // a reset has arrived

	received []byte    // every byte that ever arrived
	arrivals []arrival // when its parts arrived
	endedAt  time.Time // when the end or the reset arrived; zero: not yet
}

// memoryConn is one side of a connection. It behaves as TCP does on Linux: bytes that arrived before a reset can still be
// read, a close with unread bytes is a reset, and so is the response to bytes that arrive after a close.
type memoryConn struct {
	mutex      *sync.Mutex // of both sides
	change     *sync.Cond
	local      net.Addr
	peer       *memoryConn
	in         inbound
	deliveries []func() // what is on the way to this side

	closed        bool
	writeClosed   bool
	linger        bool // a close is orderly
	readDeadline  time.Time
	writeDeadline time.Time
}

func newConnPair(address net.Addr) (near, far *memoryConn) {
	mutex := new(sync.Mutex)
	change := sync.NewCond(mutex)
	near = &memoryConn{mutex: mutex, change: change, local: &net.TCPAddr{IP: net.IPv4(10, 9, 9, 9), Port: 999}, linger: true}
	far = &memoryConn{mutex: mutex, change: change, local: address, linger: true}
	near.peer, far.peer = far, near
	return near, far
}

// schedule brings about a change at this side once the time for the way is over, in the order in which they were sent. The caller
// holds the mutex.
func (c *memoryConn) schedule(change func()) {
	c.deliveries = append(c.deliveries, change)
	time.AfterFunc(latency, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		first := c.deliveries[0]
		c.deliveries = c.deliveries[1:]
		first()
		c.change.Broadcast()
	})
}

// arrive takes bytes that have come all the way. The caller holds the mutex.
func (c *memoryConn) arrive(data []byte) {
	c.in.inTransit -= len(data)
	if c.in.reset {
		return
	}
	c.in.arrivals = append(c.in.arrivals, arrival{time.Now(), len(c.in.received)})
	c.in.received = append(c.in.received, data...)
	if c.closed {
		c.sendReset()
		return
	}
	c.in.unread = append(c.in.unread, data...)
}

// sendReset sends a reset to the other side. The caller holds the mutex.
func (c *memoryConn) sendReset() {
	c.peer.endLater(func(in *inbound) { in.reset = true })
}

// endLater brings about an end at this side after the time for the way. The caller holds the mutex.
func (c *memoryConn) endLater(end func(*inbound)) {
	c.schedule(func() {
		end(&c.in)
		if c.in.endedAt.IsZero() {
			c.in.endedAt = time.Now()
		}
	})
}

// Read implements net.Conn.
func (c *memoryConn) Read(buffer []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case hasPassed(c.readDeadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.in.unread) > 0:
			n := copy(buffer, c.in.unread)
			c.in.unread = c.in.unread[n:]
			c.change.Broadcast()
			return n, nil
		case c.in.reset:
			return 0, syscall.ECONNRESET
		case c.in.closed:
			return 0, io.EOF
		}
		c.change.Wait()
	}
}

// Write implements net.Conn.
func (c *memoryConn) Write(data []byte) (written int, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for len(data) > 0 {
		switch {
		case c.closed || c.writeClosed:
			return written, net.ErrClosed
		case hasPassed(c.writeDeadline):
			return written, os.ErrDeadlineExceeded
		case c.in.reset:
			return written, syscall.EPIPE
		}
		free := windowBytes - c.peer.in.inTransit - len(c.peer.in.unread)
		if free <= 0 {
			c.change.Wait()
			continue
		}
		fragment := bytes.Clone(data[:min(free, len(data))])
		data = data[len(fragment):]
		written += len(fragment)
		c.peer.in.inTransit += len(fragment)
		c.peer.schedule(func() { c.peer.arrive(fragment) })
	}
	return written, nil
}

// ReadFrom implements io.ReaderFrom.
func (c *memoryConn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source)
}

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.change.Broadcast()
	if !c.linger || len(c.in.unread) > 0 {
		c.sendReset()
		return nil
	}
	if !c.writeClosed {
		c.peer.endLater(func(in *inbound) { in.closed = true })
	}
	return nil
}

// CloseWrite implements network.TCPConn.
func (c *memoryConn) CloseWrite() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.closed && !c.writeClosed {
		c.writeClosed = true
		c.peer.endLater(func(in *inbound) { in.closed = true })
	}
	return nil
}

// SetLinger implements network.TCPConn.
func (c *memoryConn) SetLinger(seconds int) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.linger = seconds != 0
	return nil
}

// Reset closes the connection by a reset.
func (c *memoryConn) Reset() {
	_ = c.SetLinger(0)
	c.Close()
}

// Idle implements network.IdleProber.
func (c *memoryConn) Idle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.closed && len(c.in.unread) == 0 && !c.in.reset && !c.in.closed
}

// peekUntil waits until the unread bytes hold the mark, and returns them up to its end. It returns nil if they never will.
func (c *memoryConn) peekUntil(mark string) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		if before, _, found := bytes.Cut(c.in.unread, []byte(mark)); found {
			return bytes.Clone(c.in.unread[:len(before)+len(mark)])
		}
		if c.closed || c.in.reset || c.in.closed {
			return nil
		}
		c.change.Wait()
	}
}

// snapshot is a copy of what came in at one side.
func (c *memoryConn) snapshot() inbound {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.in
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.peer.local }

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(deadline time.Time) error {
	c.setDeadline(&c.readDeadline, deadline)
	c.setDeadline(&c.writeDeadline, deadline)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(deadline time.Time) error {
	c.setDeadline(&c.readDeadline, deadline)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(deadline time.Time) error {
	c.setDeadline(&c.writeDeadline, deadline)
	return nil
}

func (c *memoryConn) setDeadline(field *time.Time, deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	*field = deadline
	c.change.Broadcast()
	if !deadline.IsZero() && time.Until(deadline) > 0 {
		time.AfterFunc(time.Until(deadline), c.change.Broadcast)
	}
}

func hasPassed(deadline time.Time) bool { return !deadline.IsZero() && time.Until(deadline) <= 0 }

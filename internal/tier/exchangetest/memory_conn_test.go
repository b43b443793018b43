package exchangetest

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// latency is the time that bytes, and the end of a connection, need from one side to the other.
	latency = time.Millisecond
	// windowBytes bounds the bytes that are in transit or unread in one direction.
	windowBytes = 64 << 10
)

// arrival is a time and the number of bytes that had arrived before it.
type arrival struct {
	at     time.Time
	offset int
}

// inbound is the state of what one side of a connection receives.
type inbound struct {
	inTransit int    // bytes sent and not arrived
	unread    []byte // bytes arrived and not read
	closed    bool   // the other side's orderly end has arrived
	reset     bool   // a reset has arrived

	received []byte    // all bytes that have arrived, read or not
	arrivals []arrival // when the parts of received arrived
	endedAt  time.Time // when the end or the reset arrived; zero: not yet
}

// memoryConn is one side of a connection. It behaves as TCP does on Linux: bytes that arrived before a reset can still be read, closing
// with unread bytes sends a reset, and so do bytes that arrive after the close.
type memoryConn struct {
	mutex      *sync.Mutex // shared by both sides; guards all fields of both
	change     *sync.Cond
	local      net.Addr
	peer       *memoryConn
	in         inbound
	deliveries []func() // changes in transit to this side, in order

	closed        bool
	writeClosed   bool
	linger        bool // Close ends the connection in an orderly way; else by a reset
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

// schedule applies a change to this side after latency, in the order in which the changes were sent. The mutex must be held.
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

// arrive adds bytes that have arrived at this side. The mutex must be held.
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

// sendReset sends a reset to the other side. The mutex must be held.
func (c *memoryConn) sendReset() {
	c.peer.endLater(func(in *inbound) { in.reset = true })
}

// endLater ends what this side receives after latency. The mutex must be held.
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

// Reset closes the connection with a reset.
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

// peekUntil waits until the unread bytes contain the delimiter, and returns them up to its end. It returns nil if the connection ends
// before.
func (c *memoryConn) peekUntil(delimiter string) []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for {
		if before, _, found := bytes.Cut(c.in.unread, []byte(delimiter)); found {
			return bytes.Clone(c.in.unread[:len(before)+len(delimiter)])
		}
		if c.closed || c.in.reset || c.in.closed {
			return nil
		}
		c.change.Wait()
	}
}

// snapshot returns a copy of what this side has received.
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

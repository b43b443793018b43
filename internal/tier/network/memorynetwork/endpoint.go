package memorynetwork

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

// endpoint is one end of a connection. The network's mutex guards all of it.
type endpoint struct {
	network *Network
	process *Process
	peer    *endpoint
	local   *net.TCPAddr
	remote  *net.TCPAddr
	changed *sync.Cond

	receiveBuffer []byte
	remoteClosed  bool  // a FIN was received
	failure       error // why the connection broke; nil while it is intact
	closed        bool
	writeClosed   bool
	resetOnClose  bool // Close sends a reset

	inFlight          []segment // sent but not delivered, in order
	inFlightBytes     int
	delivering        bool          // a timer for deliver is running
	retransmitTimeout time.Duration // current retransmission timeout; 0: not retransmitting

	keepAliveIdle    time.Duration // idle time after which the peer is probed; 0: never
	keepAliveTimeout time.Duration // time after which a connection to a silent peer times out; 0: never
	readDeadline     deadline
	writeDeadline    deadline
	keepAliveTimer   int // number of the current keep-alive timer; earlier timers are ignored
}

var (
	_ network.TCPConn    = (*endpoint)(nil)
	_ network.IdleProber = (*endpoint)(nil)
)

// newPair returns both endpoints of a new connection between two processes. The caller holds the mutex.
func newPair(from, to *Process, local, remote *net.TCPAddr) (near, far *endpoint) {
	n := from.machine.network
	near = &endpoint{network: n, process: from, local: local, remote: remote}
	far = &endpoint{network: n, process: to, local: remote, remote: local}
	near.peer, far.peer = far, near
	for _, e := range []*endpoint{near, far} {
		e.changed = sync.NewCond(&n.mutex)
		n.endpoints[e] = struct{}{}
		e.process.endpoints[e] = struct{}{}
	}
	return near, far
}

// Read implements net.Conn.
func (e *endpoint) Read(buffer []byte) (int, error) {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	for {
		switch {
		case e.closed || e.process.killed:
			return 0, e.error("read", net.ErrClosed)
		case e.process.machine.frozen:
		case e.readDeadline.hasPassed():
			return 0, e.error("read", os.ErrDeadlineExceeded)
		case len(buffer) == 0:
			return 0, nil
		case len(e.receiveBuffer) > 0:
			count := copy(buffer, e.receiveBuffer)
			e.receiveBuffer = e.receiveBuffer[count:]
			e.peer.changed.Broadcast()
			return count, nil
		case e.failure != nil:
			return 0, e.error("read", e.failure)
		case e.remoteClosed:
			return 0, io.EOF
		}
		e.changed.Wait()
	}
}

// Write implements net.Conn.
func (e *endpoint) Write(data []byte) (written int, err error) {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	for {
		switch {
		case e.closed || e.process.killed:
			return written, e.error("write", net.ErrClosed)
		case e.process.machine.frozen:
			e.changed.Wait()
			continue
		case e.failure != nil:
			return written, e.error("write", e.failure)
		case e.writeClosed:
			return written, e.error("write", syscall.EPIPE)
		case e.writeDeadline.hasPassed():
			return written, e.error("write", os.ErrDeadlineExceeded)
		case written == len(data):
			return written, nil
		}
		space := windowBytes - e.inFlightBytes - len(e.peer.receiveBuffer)
		if space <= 0 {
			e.changed.Wait()
			continue
		}
		count := min(space, len(data)-written)
		e.send(segment{data: append([]byte(nil), data[written:written+count]...)})
		written += count
		if written == len(data) {
			return written, nil
		}
	}
}

// ReadFrom implements io.ReaderFrom.
func (e *endpoint) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{e}, source)
}

// Close implements net.Conn.
func (e *endpoint) Close() error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	if e.closed {
		return e.error("close", net.ErrClosed)
	}
	e.close()
	return nil
}

// close closes the endpoint with a FIN, or with a reset if there are unread bytes or SetLinger requested it. The caller holds the
// mutex.
func (e *endpoint) close() {
	if e.closed {
		return
	}
	orderly := len(e.receiveBuffer) == 0 && !e.resetOnClose
	e.detach()
	if e.failure != nil {
		return
	}
	if orderly {
		if !e.writeClosed {
			e.send(segment{fin: true})
		}
		return
	}
	e.inFlight, e.inFlightBytes = nil, 0
	e.send(segment{reset: true})
}

// discard closes the endpoint without sending a segment, as a power loss does. The caller holds the mutex.
func (e *endpoint) discard() {
	e.detach()
	e.inFlight, e.inFlightBytes = nil, 0
}

// detach marks the endpoint as closed and removes it from the network and its process. The caller holds the mutex.
func (e *endpoint) detach() {
	e.closed = true
	e.receiveBuffer = nil
	e.readDeadline.stop()
	e.writeDeadline.stop()
	delete(e.network.endpoints, e)
	delete(e.process.endpoints, e)
	e.changed.Broadcast()
	e.peer.changed.Broadcast()
}

// CloseWrite implements network.TCPConn by sending a FIN.
func (e *endpoint) CloseWrite() error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	if e.closed {
		return e.error("close", net.ErrClosed)
	}
	if !e.writeClosed && e.failure == nil {
		e.writeClosed = true
		e.send(segment{fin: true})
	}
	return nil
}

// SetLinger implements network.TCPConn. With 0 seconds, Close resets the connection.
func (e *endpoint) SetLinger(seconds int) error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.resetOnClose = seconds == 0
	return nil
}

// Idle implements network.IdleProber.
func (e *endpoint) Idle() bool {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	return !e.closed && e.failure == nil && !e.remoteClosed && len(e.receiveBuffer) == 0
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return e.remote }

// wake makes blocked calls check their conditions again.
func (e *endpoint) wake() {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.changed.Broadcast()
}

// error returns an error in the form in which the system's connections return it.
func (e *endpoint) error(operation string, cause error) error {
	if number := syscall.Errno(0); errors.As(cause, &number) {
		cause = os.NewSyscallError(operation, cause)
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: e.local, Addr: e.remote, Err: cause}
}

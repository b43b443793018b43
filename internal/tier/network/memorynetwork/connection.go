package memorynetwork

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

// segment is what travels from one end to the other at once.
type segment struct {
	data  []byte
	fin   bool
	reset bool
	at    time.Time // of its arrival
}

// end is one end of a connection. The network's mutex guards all of it.
type end struct {
	network *Network
	process *Process
	peer    *end
	local   *net.TCPAddr
	remote  *net.TCPAddr
	changed *sync.Cond

	received    []byte
	finished    bool  // the peer sends no more
	failure     error // of the connection
	closed      bool
	writeClosed bool
	abort       bool // Close resets

	flight      []segment // sent and not arrived
	flightBytes int
	pumping     bool
	pause       time.Duration // until the next retransmission; 0: none was needed

	probeAfter  time.Duration // of silence the peer is probed; 0: never
	silence     time.Duration // after which a silent peer counts as gone
	readUntil   deadline
	writeUntil  deadline
	noticeSince int
}

var (
	_ network.TCPConn    = (*end)(nil)
	_ network.IdleProber = (*end)(nil)
)

// newPair joins two processes. The caller holds the mutex.
func newPair(from, to *Process, local, remote *net.TCPAddr) (near, far *end) {
	n := from.machine.network
	near = &end{network: n, process: from, local: local, remote: remote}
	far = &end{network: n, process: to, local: remote, remote: local}
	near.peer, far.peer = far, near
	for _, e := range []*end{near, far} {
		e.changed = sync.NewCond(&n.mutex)
		n.ends[e] = struct{}{}
		e.process.ends[e] = struct{}{}
	}
	return near, far
}

// Read implements net.Conn.
func (e *end) Read(buffer []byte) (int, error) {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	for {
		switch {
		case e.closed || e.process.dead:
			return 0, e.error("read", net.ErrClosed)
		case e.process.machine.frozen:
		case e.readUntil.isOver():
			return 0, e.error("read", os.ErrDeadlineExceeded)
		case len(buffer) == 0:
			return 0, nil
		case len(e.received) > 0:
			count := copy(buffer, e.received)
			e.received = e.received[count:]
			e.peer.changed.Broadcast()
			return count, nil
		case e.failure != nil:
			return 0, e.error("read", e.failure)
		case e.finished:
			return 0, io.EOF
		}
		e.changed.Wait()
	}
}

// Write implements net.Conn.
func (e *end) Write(data []byte) (written int, err error) {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	for {
		switch {
		case e.closed || e.process.dead:
			return written, e.error("write", net.ErrClosed)
		case e.process.machine.frozen:
			e.changed.Wait()
			continue
		case e.failure != nil:
			return written, e.error("write", e.failure)
		case e.writeClosed:
			return written, e.error("write", syscall.EPIPE)
		case e.writeUntil.isOver():
			return written, e.error("write", os.ErrDeadlineExceeded)
		case written == len(data):
			return written, nil
		}
		room := windowBytes - e.flightBytes - len(e.peer.received)
		if room <= 0 {
			e.changed.Wait()
			continue
		}
		count := min(room, len(data)-written)
		e.send(segment{data: append([]byte(nil), data[written:written+count]...)})
		written += count
		if written == len(data) {
			return written, nil
		}
	}
}

// ReadFrom implements io.ReaderFrom.
func (e *end) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{e}, source)
}

// Close implements net.Conn.
func (e *end) Close() error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	if e.closed {
		return e.error("close", net.ErrClosed)
	}
	e.close()
	return nil
}

// close ends the connection: orderly, unless bytes were left unread or a reset is wanted. The caller holds the mutex.
func (e *end) close() {
	if e.closed {
		return
	}
	orderly := len(e.received) == 0 && !e.abort
	e.forget()
	if e.failure != nil {
		return
	}
	if orderly {
		if !e.writeClosed {
			e.send(segment{fin: true})
		}
		return
	}
	e.flight, e.flightBytes = nil, 0
	e.send(segment{reset: true})
}

// vanish ends the connection without a word. The caller holds the mutex.
func (e *end) vanish() {
	e.forget()
	e.flight, e.flightBytes = nil, 0
}

// forget makes the end unknown to its machine. The caller holds the mutex.
func (e *end) forget() {
	e.closed = true
	e.received = nil
	e.readUntil.stop()
	e.writeUntil.stop()
	delete(e.network.ends, e)
	delete(e.process.ends, e)
	e.changed.Broadcast()
	e.peer.changed.Broadcast()
}

// CloseWrite tells the peer that no more comes.
func (e *end) CloseWrite() error {
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

// SetLinger with 0 makes Close reset the connection.
func (e *end) SetLinger(seconds int) error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.abort = seconds == 0
	return nil
}

// SetKeepAliveConfig sets how a silent peer is noticed.
func (e *end) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.setKeepAlive(config)
	return nil
}

func (e *end) setKeepAlive(config net.KeepAliveConfig) {
	if !config.Enable {
		return
	}
	e.probeAfter = config.Idle
	e.silence = config.Idle + time.Duration(config.Count)*config.Interval
	if !e.inTouch() {
		e.noticeSilence()
	}
}

// Idle implements network.IdleProber.
func (e *end) Idle() bool {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	return !e.closed && e.failure == nil && !e.finished && len(e.received) == 0
}

// LocalAddr implements net.Conn.
func (e *end) LocalAddr() net.Addr { return e.local }

// RemoteAddr implements net.Conn.
func (e *end) RemoteAddr() net.Addr { return e.remote }

// SetDeadline implements net.Conn.
func (e *end) SetDeadline(at time.Time) error {
	return e.setDeadlines(at, &e.readUntil, &e.writeUntil)
}

// SetReadDeadline implements net.Conn.
func (e *end) SetReadDeadline(at time.Time) error { return e.setDeadlines(at, &e.readUntil) }

// SetWriteDeadline implements net.Conn.
func (e *end) SetWriteDeadline(at time.Time) error { return e.setDeadlines(at, &e.writeUntil) }

func (e *end) setDeadlines(at time.Time, deadlines ...*deadline) error {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	if e.closed {
		return e.error("set", net.ErrClosed)
	}
	for _, d := range deadlines {
		d.set(at, func() { e.wake() })
	}
	e.changed.Broadcast()
	return nil
}

// wake has those who wait at this end look again.
func (e *end) wake() {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	e.changed.Broadcast()
}

func (e *end) error(operation string, cause error) error {
	if _, isNumber := cause.(syscall.Errno); isNumber {
		cause = os.NewSyscallError(operation, cause)
	}
	return &net.OpError{Op: operation, Net: "tcp", Source: e.local, Addr: e.remote, Err: cause}
}

// deadline is a time after which calls fail.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) set(at time.Time, passed func()) {
	d.stop()
	d.at = at
	if left := time.Until(at); !at.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, passed)
	}
}

func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

func (d *deadline) isOver() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

package memorynetwork

import (
	"net"
	"time"
)

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(at time.Time) error {
	return e.setDeadlines(at, &e.readDeadline, &e.writeDeadline)
}

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(at time.Time) error { return e.setDeadlines(at, &e.readDeadline) }

// SetWriteDeadline implements net.Conn.
func (e *endpoint) SetWriteDeadline(at time.Time) error { return e.setDeadlines(at, &e.writeDeadline) }

// setDeadlines sets deadlines, and wakes blocked calls so that they check the new deadlines.
func (e *endpoint) setDeadlines(at time.Time, deadlines ...*deadline) error {
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

// deadline is a time from which on calls fail.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// set sets the time at which passed is called; the zero time stands for no deadline.
func (d *deadline) set(at time.Time, passed func()) {
	d.stop()
	d.at = at
	if remaining := time.Until(at); !at.IsZero() && remaining > 0 {
		d.timer = time.AfterFunc(remaining, passed)
	}
}

// stop cancels the pending call of passed.
func (d *deadline) stop() {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
}

// hasPassed reports whether the deadline has passed.
func (d *deadline) hasPassed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// phase is where a client's connection stands. With no room left those of the lowest phase go first.
type phase uint8

const (
	lingering phase = iota // it has had its last answer
	idle                   // between requests
	reading                // a request has begun to come
	answering              // one is being answered
)

// serverConn is one client's connection.
type serverConn struct {
	net.Conn
	server *Server
	reader *Reader
	buffer []byte

	// Guarded by server.mu:
	phase  phase
	served bool      // it has handed in a complete request
	since  time.Time // when it was opened, or came to that phase
}

// closable tells whether the connection can be closed without taking an answer from a client that waits for it.
func (c *serverConn) closable(now time.Time, timeout time.Duration) bool {
	switch c.phase {
	case idle: // a request may have come that nobody has read yet
		return isQuiet(c.Conn)
	case reading:
		return now.Sub(c.since) > timeout
	}
	return c.phase == lingering
}

// closesBefore tells whether c makes room before other does.
func (c *serverConn) closesBefore(other *serverConn) bool {
	switch {
	case c.phase != other.phase:
		return c.phase < other.phase
	case c.phase == idle && c.served != other.served:
		return !c.served
	}
	return c.since.Before(other.since)
}

// setPhase notes where the connection stands now; false: it has been closed to make room.
func (c *serverConn) setPhase(to phase) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.served = c.served || to == answering
	c.phase, c.since = to, time.Now()
	return c.server.connections[c]
}

// serve answers requests until the connection is at its end.
func (c *serverConn) serve() {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.connections, c)
		c.server.mu.Unlock()
		_ = c.Close()
		c.server.done.Done()
	}()
	// The first request must be complete soon after the connection came up, however its bytes trickle in.
	by := c.since.Add(c.server.limits.FrontRead)
	for c.serveRequest(by) && c.setPhase(idle) {
		by = time.Time{}
	}
}

// serveRequest reads and answers one request, which must be complete by then, or within FrontRead of its first byte;
// false: the connection is at its end.
func (c *serverConn) serveRequest(by time.Time) bool {
	by, err := c.awaitRequest(by)
	if err != nil || !c.setPhase(reading) {
		return false
	}
	_ = c.SetReadDeadline(by)
	request, err := c.reader.ReadRequest(func() error {
		_, writeErr := c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		return writeErr
	})
	var answer Answer
	var malformed *Error
	switch {
	case errors.As(err, &malformed):
		answer = Answer{Status: malformed.Status, Body: []byte(malformed.Reason + "\n")}
	case err != nil:
		return false
	case peerClosed(c.Conn) || !c.setPhase(answering): // its client has gone, or it has made room for others: nobody would hear an answer
		return false
	default:
		answer = c.server.handle(request)
	}
	return c.writeAnswer(&answer, malformed != nil || request.Close)
}

// awaitRequest waits for the first byte of a request, for as long as the connection may be idle, and returns by when it must be complete.
func (c *serverConn) awaitRequest(by time.Time) (time.Time, error) {
	limits := c.server.limits
	_ = c.SetReadDeadline(time.Now().Add(limits.FrontIdle))
	if c.server.closing.Load() && !c.reader.buffered() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
	err := c.reader.await()
	if by.IsZero() {
		by = time.Now().Add(limits.FrontRead)
	}
	// It has been idle for long enough. A request that has come in this very moment is answered; one that comes from here on is never
	// read, so the close resets it: its client knows by that, and only by that, that it may hand it in once more.
	if errors.Is(err, os.ErrDeadlineExceeded) && !isQuiet(c.Conn) {
		_ = c.SetReadDeadline(by)
		err = c.reader.await()
	}
	return by, err
}

// writeAnswer answers a request; false: that was the connection's last answer.
func (c *serverConn) writeAnswer(answer *Answer, last bool) bool {
	// A client that hands in what can't be used, and has more of it on the way already, is cut short; with
	// little room left no client keeps its connection.
	last = last || c.server.keepAlivesDisabled.Load() || c.server.closing.Load() || c.server.crowded() ||
		answer.Status >= 400 && c.reader.buffered()
	c.buffer = AppendAnswer(c.buffer[:0], answer, last)
	_ = c.SetWriteDeadline(time.Now().Add(c.server.limits.FrontWrite))
	if _, err := c.Write(c.buffer); err != nil {
		if answer.OnLost != nil {
			answer.OnLost()
		}
		return false
	}
	if last {
		c.lingerClose()
	} else if answer.Status >= 400 && !answer.NoErrorDelay { // whoever comes again at once waits, and not the relay
		time.Sleep(c.server.limits.ErrorDelay)
	}
	return !last
}

// lingerClose ends the connection after its last answer so that this arrives: it sends the end, and reads on until the client has ended it
// too, for a moment. Bytes left unread at the close, or that come after it, would turn the answer into a reset. What is read here
// is never handled.
func (c *serverConn) lingerClose() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.setPhase(lingering) || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(c.server.limits.FrontLinger))
	_, _ = io.CopyN(io.Discard, c.Conn, int64(2*c.server.limits.BodySize))
}

package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"time"
)

// phase is the state of a client's connection. If there are too many connections, those of the lowest phase are closed first.
type phase uint8

const (
	lingering phase = iota // the last answer was written; see closeLingering
	idle                   // between requests
	reading                // part of a request has arrived
	answering              // a request is being answered
)

// serverConn is one client's connection. Only the goroutine of serve may use it, except the fields that server.mu guards.
type serverConn struct {
	net.Conn
	server *Server
	reader *Reader
	buffer []byte // reused for answers

	// Guarded by server.mu:
	phase  phase
	served bool      // the client has sent a complete request
	since  time.Time // when the connection was opened or entered its phase
}

// closable reports whether the connection can be closed without losing an answer that its client waits for.
func (c *serverConn) closable(now time.Time, timeout time.Duration) bool {
	switch c.phase {
	case idle: // a request may have arrived that is not read yet
		return isOpenWithoutData(c.Conn)
	case reading:
		return now.Sub(c.since) > timeout
	}
	return c.phase == lingering
}

// closesBefore reports whether c is to be closed rather than other if there are too many connections.
func (c *serverConn) closesBefore(other *serverConn) bool {
	switch {
	case c.phase != other.phase:
		return c.phase < other.phase
	case c.phase == idle && c.served != other.served:
		return !c.served
	}
	return c.since.Before(other.since)
}

// setPhase sets the connection's phase; false if the connection has been closed because there were too many.
func (c *serverConn) setPhase(to phase) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.served = c.served || to == answering
	c.phase, c.since = to, time.Now()
	return c.server.connections[c]
}

// serve answers requests until the connection ends, and closes it. It runs on a goroutine of its own.
func (c *serverConn) serve() {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.connections, c)
		c.server.mu.Unlock()
		_ = c.Close()
		c.server.done.Done()
	}()
	// The first request must be complete within FrontRead of the connection's start, however slowly its bytes arrive.
	deadline := c.since.Add(c.server.limits.FrontRead)
	for c.serveRequest(deadline) && c.setPhase(idle) {
		deadline = time.Time{}
	}
}

// serveRequest reads and answers one request, and returns false if the connection must end. The request must be complete by the deadline;
// if that is zero, within FrontRead of its first byte.
func (c *serverConn) serveRequest(deadline time.Time) bool {
	deadline, err := c.awaitRequest(deadline)
	if err != nil || !c.setPhase(reading) {
		return false
	}
	_ = c.SetReadDeadline(deadline)
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
	case peerClosed(c.Conn) || !c.setPhase(answering): // the client has left or the connection was evicted: nobody would receive the answer
		return false
	default:
		answer = c.server.handle(request)
	}
	return c.writeAnswer(&answer, malformed != nil || request.Close)
}

// awaitRequest waits for the first byte of a request, for as long as the connection may be idle. It returns the deadline for the complete
// request: the given one or, if that is zero, FrontRead from now.
func (c *serverConn) awaitRequest(deadline time.Time) (time.Time, error) {
	limits := c.server.limits
	_ = c.SetReadDeadline(time.Now().Add(limits.FrontIdle))
	if c.server.closing.Load() && !c.reader.buffered() {
		_ = c.SetReadDeadline(past)
	}
	err := c.reader.await()
	if deadline.IsZero() {
		deadline = time.Now().Add(limits.FrontRead)
	}
	// The connection has been idle for too long. A request that has just arrived is still answered. One that arrives after this check is
	// never read, so that the close resets the connection: only by a reset the client knows that it may submit the request again.
	if errors.Is(err, os.ErrDeadlineExceeded) && !isOpenWithoutData(c.Conn) {
		_ = c.SetReadDeadline(deadline)
		err = c.reader.await()
	}
	return deadline, err
}

// writeAnswer writes the answer to a request; false if that was the connection's last answer or could not be written.
func (c *serverConn) writeAnswer(answer *Answer, last bool) bool {
	// The connection also ends if the client has sent more after a request that was refused, or if there are nearly too many connections.
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
		c.closeLingering()
	} else if answer.Status >= 400 && !answer.NoErrorDelay { // slows down a client that retries at once
		time.Sleep(c.server.limits.ErrorDelay)
	}
	return !last
}

// closeLingering ends the connection after its last answer so that the answer arrives: it closes the sending side, and discards what it
// reads until the client closes too, for FrontLinger at most (RFC 9112, section 9.6). Bytes that are unread at the close, or arrive after
// it, would cause a reset, which makes the client's system discard the answer.
func (c *serverConn) closeLingering() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.setPhase(lingering) || half.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(c.server.limits.FrontLinger))
	_, _ = io.CopyN(io.Discard, c.Conn, int64(2*c.server.limits.BodySize))
}

package httpwire

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"
)

// Stage is how far a call has progressed when it ends.
type Stage uint8

// The stages.
const (
	Answered     Stage = iota // the call has a complete answer
	Malformed                 // an answer came, of which at most the status line could be read: the call has run
	Withheld                  // nothing was written: the call has not run
	NotConnected              // no connection, or the request could not be written completely: the call has not run
	Broken                    // the connection broke after the request's last byte: the call may have run
	TimedOut                  // no answer came in time: the call may have run
	Canceled                  // the context was cancelled after the request was written: the call may have run
)

// AppendRequest appends an encoded request. header has names and values alternating; without Content-Length if body is nil.
func AppendRequest(b []byte, method, path, host string, header []string, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, header)
	if body != nil {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// Do makes one call: it writes request to a peer, once and in one write, and calls use with the answer, whose bytes are valid until use
// returns. Of a malformed answer use gets the status only, or 0 if even that can't be read. mayWrite, unless nil, is called right before
// the first byte, since opening a connection may take seconds; if it returns false, nothing is written. When Do returns, the connection is
// idle or closed, and no copy of the call is still in flight. It ends with ctx.
func (p *Pool) Do(ctx context.Context, peer Peer, request []byte, mayWrite func() bool, use func(*Response)) Stage {
	conn := p.take(peer)
	reused := conn != nil
	var idle time.Duration
	if reused {
		idle = time.Since(conn.idleSince)
	} else {
		var stage Stage
		if conn, stage = p.dial(ctx, peer); conn == nil {
			return stage
		}
	}
	// mayWrite may write to a disk. If the peer meanwhile closes a reused connection, or sends unsolicited bytes on it, the connection is
	// not used, and the call has not run.
	if mayWrite != nil && !mayWrite() || reused && !isOpenWithoutData(conn.Conn) {
		_ = conn.Close()
		return Withheld
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(past) })
	answer, stage := conn.call(ctx, request)
	if answer != nil {
		answer.FirstOnConnection = !reused
		use(answer)
	} else if stage == Broken && reused {
		p.reduceTrust(idle)
	}
	// If stop fails, the connection's deadline was set to the past, and it can't be reused.
	if !stop() || stage != Answered || answer.Close || conn.reader.buffered() {
		_ = conn.Close()
		return stage
	}
	p.keep(peer, conn)
	return stage
}

// past is a deadline in the past, which ends reads and writes at once.
var past = time.Unix(1, 0)

// dial opens a connection. If that fails it returns nil, and the stage gives the reason.
func (p *Pool) dial(ctx context.Context, peer Peer) (*clientConn, Stage) {
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.Address)
	switch {
	case errors.Is(ctx.Err(), context.Canceled): // cancelled while connecting: no sign that the peer can't be reached
		if err == nil {
			_ = conn.Close()
		}
		return nil, Withheld
	case err != nil:
		return nil, NotConnected
	}
	return &clientConn{Conn: conn, reader: NewReader(conn, p.limits), limits: p.limits}, Answered
}

// call writes a request and reads its final answer, skipping interim ones; it reads at most MaxInterim answers. Without an answer it
// returns nil, and the stage gives the reason.
func (c *clientConn) call(ctx context.Context, request []byte) (*Response, Stage) {
	if _, err := c.Write(request); err != nil {
		return nil, NotConnected
	}
	for range c.limits.MaxInterim {
		if err := c.reader.await(); err != nil {
			break
		}
		// An answer that stops midway, or never ends, must not keep its slot occupied for long.
		c.setReadDeadline(ctx, time.Now().Add(c.limits.AnswerRead))
		answer, err := c.reader.ReadResponse()
		c.setReadDeadline(ctx, time.Time{})
		switch {
		case err != nil && answer == nil:
			return &Response{}, Malformed
		case err != nil:
			return answer, Malformed
		case answer.Status >= 200:
			return answer, Answered
		}
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, Canceled
	case ctx.Err() != nil:
		return nil, TimedOut
	}
	return nil, Broken
}

// setReadDeadline sets the deadline for reading; if ctx has ended, reading ends at once.
func (c *clientConn) setReadDeadline(ctx context.Context, t time.Time) {
	if _ = c.SetReadDeadline(t); ctx.Err() != nil {
		_ = c.SetReadDeadline(past)
	}
}

package httpwire

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"
)

// Stage is how far a call came.
type Stage uint8

// The stages.
const (
	Answered     Stage = iota // there is an answer
	Malformed                 // there is one, of which at most the first line could be read: the call has run
	Withheld                  // the call was recalled before its first byte: it has not run
	NotConnected              // its last byte was never written: it has not run
	Broken                    // the connection broke after its last byte: it may have run
	TimedOut                  // no answer came in time: it may have run
	Canceled                  // the context was cancelled: it may have run
)

// AppendRequest appends a request as it goes over the wire. header has names and values alternating; a body of nil has no Content-Length.
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

// Do makes one call: it writes request to a peer, in one write and once, and calls use with the answer, whose bytes are valid until use
// returns; of a malformed answer use gets the status, 0 where even that can't be read. A connection may take seconds to come up: mayWrite,
// if not nil, is asked right before the first byte. When Do returns, the connection is idle or closed: no copy of the call is still in
// flight. It ends with ctx.
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
	// mayWrite may take a write to a disk. The peer may end a reused connection meanwhile, or write bytes that answer nothing: then the
	// connection is not used, and nothing has run.
	if mayWrite != nil && !mayWrite() || reused && !isQuiet(conn.Conn) {
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
	// Where stop comes too late the connection has a deadline in the past, and can't be reused.
	if !stop() || stage != Answered || answer.Close || conn.reader.buffered() {
		_ = conn.Close()
		return stage
	}
	p.keep(peer, conn)
	return stage
}

// past is a deadline that ends reads and writes at once.
var past = time.Unix(1, 0)

// dial opens a connection; nil: there is none, for the reason that the stage says.
func (p *Pool) dial(ctx context.Context, peer Peer) (*clientConn, Stage) {
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", peer.Address)
	switch {
	case errors.Is(ctx.Err(), context.Canceled): // cancelled before it came up: that says nothing about the peer
		if err == nil {
			_ = conn.Close()
		}
		return nil, Withheld
	case err != nil:
		return nil, NotConnected
	}
	return &clientConn{Conn: conn, reader: NewReader(conn, p.limits), limits: p.limits}, Answered
}

// call writes a request and reads its final answer, past at most MaxInterim interim ones; nil: there is none, for the reason that the stage says.
func (c *clientConn) call(ctx context.Context, request []byte) (*Response, Stage) {
	if _, err := c.Write(request); err != nil {
		return nil, NotConnected
	}
	for range c.limits.MaxInterim {
		if err := c.reader.await(); err != nil {
			break
		}
		// An answer that stops half-way, or never ends, must not occupy its slot for long.
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

// setReadDeadline sets the deadline for reading, unless ctx has ended: then reading ends at once.
func (c *clientConn) setReadDeadline(ctx context.Context, t time.Time) {
	if _ = c.SetReadDeadline(t); ctx.Err() != nil {
		_ = c.SetReadDeadline(past)
	}
}

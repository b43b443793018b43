package httpwire

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"
)

// Stage tells how far a call came.
type Stage uint8

// The stages.
const (
	Answered     Stage = iota // there is an answer
	Malformed                 // there is one, of which at most the first line could be read: it has run
	Withheld                  // it was called back before its first byte: it has not run
	NotConnected              // its last byte was never written: it has not run
	Broken                    // the connection broke after that: it may have run
	TimedOut                  // no answer came in time: it may have run
	Canceled                  // the context was cancelled: it may have run
)

// AppendRequest appends a request as it goes over the wire.
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

// Do makes one call: it writes request to a peer, at once and once, and hands the answer to use, whose bytes
// hold until use returns; of a malformed answer it gets the status. A connection may take seconds to come up: mayWrite,
// if not nil, is asked right before the first byte. When Do returns, the connection is idle or closed: no copy of
// the call is still out.
func (p *Pool) Do(ctx context.Context, to Peer, request []byte, mayWrite func() bool, use func(*Response)) Stage {
	c := p.take(to)
	reused := c != nil
	var idle time.Duration
	if reused {
		idle = time.Since(c.idleSince)
	} else {
		var stage Stage
		if c, stage = p.dial(ctx, to); c == nil {
			return stage
		}
	}
	// To ask may take a write to a disk. On a connection that has been used before the peer may end it meanwhile, or write what is
	// left over: then it is not used, and nothing has run.
	if mayWrite != nil && !mayWrite() || reused && !isQuiet(c.Conn) {
		_ = c.Close()
		return Withheld
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, stage := c.call(ctx, request)
	if answer != nil {
		answer.FirstOnConnection = !reused
		use(answer)
	} else if stage == Broken && reused {
		p.reduceTrust(idle)
	}
	// A stop that comes too late has spoilt the connection's deadline: it is not kept.
	if !stop() || stage != Answered || answer.Close || c.reader.buffered() {
		_ = c.Close()
		return stage
	}
	p.keep(to, c)
	return stage
}

// dial opens a connection; nil: there is none, for the reason that the stage tells.
func (p *Pool) dial(ctx context.Context, to Peer) (*clientConn, Stage) {
	dialer := net.Dialer{Timeout: p.limits.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", to.Address)
	switch {
	case errors.Is(ctx.Err(), context.Canceled): // called off, or back, before it came up: that tells nothing of the peer
		if err == nil {
			_ = conn.Close()
		}
		return nil, Withheld
	case err != nil:
		return nil, NotConnected
	}
	return &clientConn{Conn: conn, reader: NewReader(conn, p.limits), limits: p.limits}, Answered
}

// call writes a request and reads its answer, past interim ones; nil: there is none, for the reason that the stage tells.
func (c *clientConn) call(ctx context.Context, request []byte) (*Response, Stage) {
	if _, err := c.Write(request); err != nil {
		return nil, NotConnected
	}
	for range c.limits.MaxInterim {
		if err := c.reader.await(); err != nil {
			break
		}
		// An answer comes in one piece: one that stops half-way, or never ends, must not hold its slot for long.
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

// setReadDeadline sets the deadline for reading, unless ctx has ended: that one stands.
func (c *clientConn) setReadDeadline(ctx context.Context, t time.Time) {
	if _ = c.SetReadDeadline(t); ctx.Err() != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http/httputil"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mastusher/internal/relay/config"
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

// Peer is a machine to call. One that takes over another's address is not the same, and must not be called on
// the connections of the other.
type Peer struct{ Name, Address string }

// Pool makes calls and keeps connections for the next ones. It never sends a request twice.
type Pool struct {
	lim *config.Limits
	mu  sync.Mutex
	// idle holds the connections that stand idle, the one used last at the end.
	idle  map[Peer][]*clientConn
	count int
	// Some machines drop idle connections without a word, so that a request on one is lost, and may have run.
	// What stood idle for longer than trust is not used; it shrinks with each loss and doubles in TrustDoubles.
	trust   time.Duration
	trustAt time.Time
}

type clientConn struct {
	net.Conn
	r     *Reader
	lim   *config.Limits
	since time.Time
}

// NewPool returns an empty pool.
func NewPool(lim *config.Limits) *Pool { return &Pool{lim: lim, idle: map[Peer][]*clientConn{}} }

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
// hold until use returns; of a spoilt answer it gets the status. A connection may take seconds to come up: mayWrite,
// if not nil, is asked right before the first byte. When Do returns, the connection is idle or closed: no copy of
// the call is still out.
func (p *Pool) Do(ctx context.Context, to Peer, request []byte, mayWrite func() bool, use func(*Response)) Stage {
	c := p.take(to)
	used := c != nil // before
	var idle time.Duration
	if used {
		idle = time.Since(c.since)
	} else {
		dial := net.Dialer{Timeout: p.lim.ConnectTimeout}
		conn, err := dial.DialContext(ctx, "tcp", to.Address)
		switch {
		case errors.Is(ctx.Err(), context.Canceled): // called off, or back, before it came up: that tells nothing of the peer
			if err == nil {
				_ = conn.Close()
			}
			return Withheld
		case err != nil:
			return NotConnected
		}
		c = &clientConn{Conn: conn, r: NewReader(conn, p.lim), lim: p.lim}
	}
	// To ask may take a write to a disk. On a connection that has been used before the peer may end it meanwhile, or write what is
	// left over: then it is not used, and nothing has run.
	if mayWrite != nil && !mayWrite() || used && !quiet(c.Conn) {
		_ = c.Close()
		return Withheld
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, stage := c.call(ctx, request)
	if answer != nil {
		answer.FirstOnConnection = !used
		use(answer)
	} else if stage == Broken && used {
		p.doubt(idle)
	}
	// A stop that comes too late has spoilt the connection's deadline: it is not kept.
	if !stop() || stage != Answered || answer.Close || c.r.buffered() {
		_ = c.Close()
		return stage
	}
	p.keep(to, c)
	return stage
}

func (c *clientConn) call(ctx context.Context, request []byte) (*Response, Stage) {
	if _, err := c.Write(request); err != nil {
		return nil, NotConnected
	}
	for range c.lim.MaxInterim {
		if err := c.r.await(); err != nil {
			break
		}
		// An answer comes in one piece: one that stops half-way, or never ends, must not hold its slot for long.
		c.bound(ctx, time.Now().Add(c.lim.AnswerRead))
		answer, err := c.r.ReadResponse()
		c.bound(ctx, time.Time{})
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

// bound sets the deadline for reading, unless ctx has ended: that one stands.
func (c *clientConn) bound(ctx context.Context, t time.Time) {
	if _ = c.SetReadDeadline(t); ctx.Err() != nil {
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// trusted is how long a connection may have stood idle to be used.
func (p *Pool) trusted(now time.Time) time.Duration {
	if p.trust == 0 {
		return p.lim.IdleSocket
	}
	grown := float64(p.trust) * math.Exp2(float64(now.Sub(p.trustAt))/float64(p.lim.IdleTrustDoubling))
	return time.Duration(min(grown, float64(p.lim.IdleSocket)))
}

// doubt notes that a call on a connection that had been idle for so long was lost.
func (p *Pool) doubt(idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.trust, p.trustAt = max(min(p.trusted(now), idle*3/4), p.lim.IdleTrustMin), now
}

// take returns an idle connection that is still good, or nil. Those that stood too long, or that the other
// side has closed or written to, are closed here: a request on one of them would be lost.
func (p *Pool) take(to Peer) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for list := p.idle[to]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[to] = list
		p.count--
		if time.Since(c.since) < p.trusted(time.Now()) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

func (p *Pool) keep(to Peer, c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[to]) >= p.lim.IdlePerEndpoint || p.count >= p.lim.IdleEndpoints {
		_ = c.Close()
		return
	}
	c.since = time.Now()
	p.idle[to] = append(p.idle[to], c)
	p.count++
}

// CloseIdle closes the idle connections to a peer, or those to all that have stood too long if it is the zero one.
func (p *Pool) CloseIdle(to Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for peer, list := range p.idle {
		list = slices.DeleteFunc(list, func(c *clientConn) bool {
			if peer != to && (to != Peer{} || time.Since(c.since) < p.lim.IdleSocket) {
				return false
			}
			_ = c.Close()
			p.count--
			return true
		})
		if p.idle[peer] = list; len(list) == 0 {
			delete(p.idle, peer)
		}
	}
}

// quiet tells whether an idle connection is still open and has nothing to read.
func quiet(c net.Conn) bool {
	_, err := peek(c)
	return err == syscall.EAGAIN
}

// left tells whether the peer has ended the connection, or its sending, and nothing is left to read before that.
func left(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && err != syscall.EAGAIN
}

// peek looks at what stands in a connection's buffer, and waits for nothing, not even for a goroutine that reads it. EAGAIN: there is
// nothing, and the connection is open. One that is no socket is taken for such.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	var got error
	if err = raw.Control(func(fd uintptr) {
		n, _, got = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err == nil {
		err = got
	}
	return max(n, 0), err
}

// Stream is an answer whose body comes line by line, for as long as its connection lasts.
type Stream struct {
	conn  net.Conn
	lines *bufio.Scanner
}

// OpenStream makes a call on a connection of its own. It fails unless the answer is 200.
func OpenStream(ctx context.Context, address string, request []byte, lim *config.Limits) (*Stream, error) {
	dial := net.Dialer{Timeout: lim.ConnectTimeout}
	conn, err := dial.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(lim.WatchTimeout))
	r := NewReader(conn, lim)
	var p *Response
	if _, err = conn.Write(request); err == nil {
		p, err = r.responseHead()
	}
	if err == nil && p.Status != 200 {
		err = &Error{p.Status, "the stream was refused"}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	r.src.left = math.MaxInt // a stream has no end; its lines are bounded
	var from io.Reader = r.br
	if p.Header.Get("Transfer-Encoding") != "" {
		from = httputil.NewChunkedReader(r.br)
	}
	s := &Stream{conn: conn, lines: bufio.NewScanner(from)}
	s.lines.Buffer(nil, 16*lim.BodySize)
	return s, nil
}

// Next returns the next line, which holds until the next call; by then it must have come whole.
func (s *Stream) Next(by time.Time) ([]byte, error) {
	_ = s.conn.SetReadDeadline(by)
	if s.lines.Scan() {
		return s.lines.Bytes(), nil
	}
	if err := s.lines.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// Close ends the stream.
func (s *Stream) Close() { _ = s.conn.Close() }

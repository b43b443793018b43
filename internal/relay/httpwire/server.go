package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/config"
)

// Answer is what a handler returns. OnLost, if set, is called when it could not be written.
type Answer struct {
	Status       int
	Header       []string // name, value, name, value...
	Body         []byte
	NoErrorDelay bool // an error that is no sign of a client that hammers: the next request is read at once
	OnLost       func()
}

// Handler answers one request, whose bytes it may use until it returns.
type Handler func(*Request) Answer

// Server serves clients' connections.
type Server struct {
	lim     *config.Limits
	handle  Handler
	closing atomic.Bool // connections end where they stand between requests
	retired atomic.Bool // every answer is its connection's last

	mu    sync.Mutex
	conns map[*serverConn]bool
	done  sync.WaitGroup
}

// NewServer returns a server that hands requests to handle, one goroutine a connection.
func NewServer(lim *config.Limits, handle Handler) *Server {
	return &Server{lim: lim, handle: handle, conns: map[*serverConn]bool{}}
}

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors for the moment
			continue
		}
		if f := s.admit(conn); f != nil {
			go f.serve()
		}
	}
}

// phase is where a client's connection stands. With no room left those of the lowest phase go first.
type phase uint8

const (
	parting   phase = iota // it has had its last answer
	resting                // between requests
	reading                // a request has begun to come
	answering              // one is being answered
)

// admit takes conn on. With no room left one makes room: of those that part, that began to the longest ago; else of those that
// rest, first those that have never asked for anything, the one that does so the longest; else the one whose request has been
// coming for longer than its client can wait. A crowd that says nothing, or begins and never ends, must not keep out those who
// ask. Where there is none conn itself is closed.
func (s *Server) admit(conn net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.conns) >= s.lim.ClientConnections {
		var out *serverConn
		for f := range s.conns {
			if (out == nil || f.before(out)) && f.leavable(now, s.lim.AnswerWithin) {
				out = f
			}
		}
		if out == nil {
			_ = conn.Close()
			return nil
		}
		delete(s.conns, out)
		_ = out.Close()
	}
	f := &serverConn{Conn: conn, s: s, r: NewReader(conn, s.lim), phase: resting, since: now}
	s.conns[f] = true
	s.done.Add(1)
	return f
}

// leavable tells whether the connection can be closed without taking an answer from a client that waits for it.
func (f *serverConn) leavable(now time.Time, patience time.Duration) bool {
	switch f.phase {
	case resting: // a request may have come that nobody has read yet
		return quiet(f.Conn)
	case reading:
		return now.Sub(f.since) > patience
	}
	return f.phase == parting
}

// before tells whether f makes room before g does.
func (f *serverConn) before(g *serverConn) bool {
	switch {
	case f.phase != g.phase:
		return f.phase < g.phase
	case f.phase == resting && f.served != g.served:
		return !f.served
	}
	return f.since.Before(g.since)
}

// Retire makes every answer the last of its connection; it goes on answering.
func (s *Server) Retire() { s.retired.Store(true) }

// Close ends the connections: those that rest at once, the others with the answer to the request that has begun to come, all of
// them within the given time. It returns when no request is being handled any more.
func (s *Server) Close(within time.Duration) {
	s.closing.Store(true)
	s.each(func(f *serverConn) {
		if f.phase == resting {
			_ = f.SetReadDeadline(time.Unix(1, 0)) // serve ends it
		}
	})
	late := time.AfterFunc(within, func() { s.each(func(f *serverConn) { _ = f.Conn.Close() }) })
	s.done.Wait()
	late.Stop()
}

func (s *Server) each(do func(*serverConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.conns {
		do(f)
	}
}

// crowded tells whether there is little room left.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > s.lim.ClientConnections*3/4
}

// serverConn is one client's connection.
type serverConn struct {
	net.Conn
	s   *Server
	r   *Reader
	out []byte

	// Under the server's lock:
	phase  phase
	served bool      // it has handed in a whole request
	since  time.Time // when it was opened, or came to that phase
}

// enter notes where the connection stands now; false: it has been closed to make room.
func (f *serverConn) enter(to phase) bool {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	f.served = f.served || to == answering
	f.phase, f.since = to, time.Now()
	return f.s.conns[f]
}

func (f *serverConn) serve() {
	defer func() {
		f.s.mu.Lock()
		delete(f.s.conns, f)
		f.s.mu.Unlock()
		_ = f.Close()
		f.s.done.Done()
	}()
	// The first request must be whole soon after the connection came up, however its bytes trickle in.
	by := f.since.Add(f.s.lim.FrontRead)
	for f.one(by) && f.enter(resting) {
		by = time.Time{}
	}
}

// one reads and answers one request, which must be whole by then, or within FrontRead of its first byte;
// false: the connection is at its end.
func (f *serverConn) one(by time.Time) bool {
	lim := f.s.lim
	_ = f.SetReadDeadline(time.Now().Add(lim.FrontIdle))
	if f.s.closing.Load() && !f.r.buffered() {
		_ = f.SetReadDeadline(time.Unix(1, 0))
	}
	err := f.r.await()
	if by.IsZero() {
		by = time.Now().Add(lim.FrontRead)
	}
	// It has rested for long enough. A request that has come in this very moment is answered; one that comes from here on is never
	// read, so the close resets it: its client knows by that, and only by that, that it may hand it in once more.
	if errors.Is(err, os.ErrDeadlineExceeded) && !quiet(f.Conn) {
		_ = f.SetReadDeadline(by)
		err = f.r.await()
	}
	if err != nil || !f.enter(reading) {
		return false
	}
	_ = f.SetReadDeadline(by)
	q, err := f.r.ReadRequest(func() error {
		_, err := f.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		return err
	})
	var a Answer
	var fault *Error
	switch {
	case errors.As(err, &fault):
		a = Answer{Status: fault.Status, Body: []byte(fault.Reason + "\n")}
	case err != nil:
		return false
	case left(f.Conn) || !f.enter(answering): // its client has gone, or it has made room for others: nobody would hear an answer
		return false
	default:
		a = f.s.handle(q)
	}
	// A client that hands in what can't be used, and has more of it on the way already, is cut short; with
	// little room left no client keeps its connection.
	last := fault != nil || q.Close || f.s.retired.Load() || f.s.closing.Load() || f.s.crowded() ||
		a.Status >= 400 && f.r.buffered()
	f.out = AppendAnswer(f.out[:0], &a, last)
	_ = f.SetWriteDeadline(time.Now().Add(lim.FrontWrite))
	if _, err := f.Write(f.out); err != nil {
		if a.OnLost != nil {
			a.OnLost()
		}
		return false
	}
	if last {
		f.part()
	} else if a.Status >= 400 && !a.NoErrorDelay { // whoever comes again at once waits, and not the relay
		time.Sleep(lim.ErrorDelay)
	}
	return !last
}

// part ends the connection after its last answer so that this arrives: it sends the end, and reads on until the client has ended it
// too, for a moment. Bytes left unread at the close, or that come after it, would turn the answer into a reset. What is read here
// is never handled.
func (f *serverConn) part() {
	c, ok := f.Conn.(interface{ CloseWrite() error })
	if !ok || !f.enter(parting) || c.CloseWrite() != nil {
		return
	}
	_ = f.SetReadDeadline(time.Now().Add(f.s.lim.FrontLinger))
	_, _ = io.CopyN(io.Discard, f.Conn, int64(2*f.s.lim.BodySize))
}

// AppendAnswer appends a as it goes over the wire.
func AppendAnswer(b []byte, a *Answer, last bool) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, reasons[a.Status]...)
	b = append(b, "\r\n"...)
	b = appendHeaders(b, a.Header)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	if a.Status != 204 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, a.Body...)
}

func appendHeaders(b []byte, h []string) []byte {
	for i := 0; i+1 < len(h); i += 2 {
		b = append(b, h[i]...)
		b = append(b, ": "...)
		b = append(b, h[i+1]...)
		b = append(b, "\r\n"...)
	}
	return b
}

var reasons = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 401: "Unauthorized",
	403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	415: "Unsupported Media Type", 422: "Unprocessable Content", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

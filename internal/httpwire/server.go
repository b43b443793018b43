package httpwire

import (
	"errors"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/config"
)

// Answer is what a handler returns. Lost, if set, is called when it could not be written.
type Answer struct {
	Status int
	Header []string // name, value, name, value...
	Body   []byte
	Prompt bool // an error that is no sign of a client that hammers: the next request is read at once
	Lost   func()
}

// Handler answers one request, whose bytes it may use until it returns.
type Handler func(*Request) Answer

// Server serves front sockets, the clients' side.
type Server struct {
	lim     *config.Limits
	handle  Handler
	closing atomic.Bool // connections end where they stand between requests
	retired atomic.Bool // every answer is its connection's last

	mu    sync.Mutex
	conns map[*frontSocket]bool
	done  sync.WaitGroup
}

// NewServer returns a server that hands requests to handle, one goroutine a connection.
func NewServer(lim *config.Limits, handle Handler) *Server {
	return &Server{lim: lim, handle: handle, conns: map[*frontSocket]bool{}}
}

// Serve accepts front sockets until l is closed.
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

// admit takes conn on. With no room left it closes the one that has stood idle the longest, first of those
// that have never asked for anything: a crowd that says nothing must not keep out those who do. Where none is
// idle conn itself is closed.
func (s *Server) admit(conn net.Conn) *frontSocket {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.lim.FrontSockets {
		var out *frontSocket
		for f := range s.conns {
			if f.idle && (out == nil || f.served != out.served && !f.served ||
				f.served == out.served && f.since.Before(out.since)) {
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
	f := &frontSocket{Conn: conn, s: s, r: NewReader(conn, s.lim), idle: true, since: time.Now()}
	s.conns[f] = true
	s.done.Add(1)
	return f
}

// Retire makes every answer the last of its connection; it goes on answering.
func (s *Server) Retire() { s.retired.Store(true) }

// Close ends the connections that stand between requests, lets the others finish theirs, and waits.
func (s *Server) Close() {
	s.closing.Store(true)
	s.mu.Lock()
	for f := range s.conns {
		if f.idle {
			_ = f.SetReadDeadline(time.Unix(1, 0)) // serve closes it
		}
	}
	s.mu.Unlock()
	s.done.Wait()
}

// crowded tells whether there is little room left.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > s.lim.FrontSockets*3/4
}

// frontSocket is one client's connection.
type frontSocket struct {
	net.Conn
	s   *Server
	r   *Reader
	out []byte

	// Under the server's lock:
	idle   bool      // between requests
	served bool      // it has handed in a whole request
	since  time.Time // when it was opened, or last became idle
}

// mark notes where the connection stands; false: it has been closed to make room.
func (f *frontSocket) mark(idle bool) bool {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.idle = idle; idle {
		f.served, f.since = true, time.Now()
	}
	return f.s.conns[f]
}

func (f *frontSocket) serve() {
	defer func() {
		f.s.mu.Lock()
		delete(f.s.conns, f)
		f.s.mu.Unlock()
		_ = f.Close()
		f.s.done.Done()
	}()
	// The first request must be whole soon after the connection came up, however its bytes trickle in.
	by := f.since.Add(f.s.lim.FrontRead)
	for f.one(by) && f.mark(true) {
		by = time.Time{}
	}
}

// one reads and answers one request, which must be whole by then, or within FrontRead of its first byte;
// false: the connection is at its end.
func (f *frontSocket) one(by time.Time) bool {
	lim := f.s.lim
	_ = f.SetReadDeadline(time.Now().Add(lim.FrontIdle))
	if f.s.closing.Load() && !f.r.buffered() {
		return false
	}
	if f.r.await() != nil || !f.mark(false) {
		return false
	}
	if by.IsZero() {
		by = time.Now().Add(lim.FrontRead)
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
		a = Answer{Status: fault.Status, Body: []byte(fault.Why + "\n")}
	case err != nil:
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
		if a.Lost != nil {
			a.Lost()
		}
		return false
	}
	if last && (fault != nil || f.r.buffered()) {
		f.linger()
	} else if a.Status >= 400 && !a.Prompt { // whoever comes again at once waits, and not the relay
		time.Sleep(lim.FrontRest)
	}
	return !last
}

// linger reads on for a moment after a request that could not be read: bytes left unread would turn the
// answer into a reset.
func (f *frontSocket) linger() {
	c, ok := f.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = c.CloseWrite()
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

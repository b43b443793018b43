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
	Lost   func()
}

// Handler answers one request, whose bytes it may use until it returns.
type Handler func(*Request) Answer

// Server serves front sockets, the clients' side.
type Server struct {
	lim     *config.Limits
	handle  Handler
	room    chan struct{}
	closing atomic.Bool // connections end where they stand between requests
	retired atomic.Bool // every answer is its connection's last

	mu    sync.Mutex
	conns map[net.Conn]bool // true: between requests
	done  sync.WaitGroup
}

// NewServer returns a server that hands requests to handle, one goroutine a connection.
func NewServer(lim *config.Limits, handle Handler) *Server {
	return &Server{lim: lim, handle: handle, room: make(chan struct{}, lim.FrontSockets), conns: map[net.Conn]bool{}}
}

// Serve accepts front sockets until l is closed. With no room left the next one waits in the backlog.
func (s *Server) Serve(l net.Listener) error {
	for {
		s.room <- struct{}{}
		conn, err := l.Accept()
		if err != nil {
			<-s.room
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors for the moment
			continue
		}
		s.done.Add(1)
		s.mark(conn, true)
		go s.serve(conn)
	}
}

// Retire makes every answer the last of its connection; it goes on answering.
func (s *Server) Retire() { s.retired.Store(true) }

// Close ends the connections that stand between requests, lets the others finish theirs, and waits.
func (s *Server) Close() {
	s.closing.Store(true)
	s.mu.Lock()
	for c, idle := range s.conns {
		if idle {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // serve closes it
		}
	}
	s.mu.Unlock()
	s.done.Wait()
}

func (s *Server) mark(c net.Conn, idle bool) {
	s.mu.Lock()
	s.conns[c] = idle
	s.mu.Unlock()
}

// frontSocket is one client's connection.
type frontSocket struct {
	net.Conn
	s   *Server
	r   *Reader
	out []byte
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
		<-s.room
		s.done.Done()
	}()
	f := &frontSocket{Conn: conn, s: s, r: NewReader(conn, s.lim)}
	for f.one() {
		s.mark(conn, true)
	}
}

// one reads and answers one request; false: the connection is at its end.
func (f *frontSocket) one() bool {
	lim := f.s.lim
	_ = f.SetReadDeadline(time.Now().Add(lim.FrontIdle))
	if f.s.closing.Load() && !f.r.buffered() {
		return false
	}
	if f.r.await() != nil {
		return false
	}
	f.s.mark(f.Conn, false)
	_ = f.SetReadDeadline(time.Now().Add(lim.FrontRead))
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
	// With little room left no client keeps its connection.
	last := fault != nil || q.Close || f.s.retired.Load() || f.s.closing.Load() || len(f.s.room) > cap(f.s.room)*3/4
	f.out = AppendAnswer(f.out[:0], &a, last)
	_ = f.SetWriteDeadline(time.Now().Add(lim.FrontRead))
	if _, err := f.Write(f.out); err != nil {
		if a.Lost != nil {
			a.Lost()
		}
		return false
	}
	if fault != nil {
		f.linger()
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

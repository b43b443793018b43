package httpwire

import (
	"errors"
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

func (s *Server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
		<-s.room
		s.done.Done()
	}()
	r := NewReader(conn, s.lim)
	var out []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(s.lim.FrontIdle))
		if s.closing.Load() && !r.buffered() {
			return
		}
		if r.await() != nil {
			return
		}
		s.mark(conn, false)
		_ = conn.SetReadDeadline(time.Now().Add(s.lim.FrontRead))
		q, err := r.ReadRequest(func() error {
			_, err := conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			return err
		})
		var fault *Error
		if errors.As(err, &fault) {
			q = &Request{Close: true}
		} else if err != nil {
			return
		}
		var a Answer
		if fault != nil {
			a = Answer{Status: fault.Status, Body: []byte(fault.Why + "\n")}
		} else {
			a = s.handle(q)
		}
		// With little room left no client keeps its connection.
		last := q.Close || s.retired.Load() || s.closing.Load() || len(s.room) > cap(s.room)*3/4
		out = AppendAnswer(out[:0], &a, last)
		_ = conn.SetWriteDeadline(time.Now().Add(s.lim.FrontRead))
		if _, err := conn.Write(out); err != nil {
			if a.Lost != nil {
				a.Lost()
			}
			return
		}
		if last {
			if c, ok := conn.(*net.TCPConn); ok && fault != nil {
				_ = c.CloseWrite() // unread bytes must not turn the answer into a reset
				_ = conn.SetReadDeadline(time.Now().Add(time.Second))
				buf := make([]byte, 4096)
				for n := 0; n < 2*s.lim.BodySize; {
					k, err := conn.Read(buf)
					if n += k; err != nil {
						break
					}
				}
			}
			return
		}
		s.mark(conn, true)
	}
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

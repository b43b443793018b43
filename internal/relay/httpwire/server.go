package httpwire

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/config"
)

// Handler answers one request, whose bytes it may use until it returns. It is called on the goroutine of the request's connection.
type Handler func(*Request) Answer

// Server serves clients' connections.
type Server struct {
	limits             *config.Limits
	handle             Handler
	closing            atomic.Bool // connections end between requests
	keepAlivesDisabled atomic.Bool // every answer is its connection's last

	mu          sync.Mutex // guards connections, and of each its phase, served and since
	connections map[*serverConn]bool
	done        sync.WaitGroup // of the connections' goroutines
}

// NewServer returns a server that answers requests by handle, with one goroutine a connection, Limits.ClientConnections at most.
func NewServer(limits *config.Limits, handle Handler) *Server {
	return &Server{limits: limits, handle: handle, connections: map[*serverConn]bool{}}
}

// Serve accepts connections until the listener is closed, and then returns nil. Any other error of the listener is retried.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(5 * time.Millisecond) // out of descriptors for the moment
			continue
		}
		if c := s.admit(conn); c != nil {
			go c.serve()
		}
	}
}

// admit adds a connection. Where there are too many it closes another one for it, see leastUseful, or the new one itself; nil: that.
func (s *Server) admit(conn net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.connections) >= s.limits.ClientConnections {
		evicted := s.leastUseful(now)
		if evicted == nil {
			_ = conn.Close()
			return nil
		}
		delete(s.connections, evicted)
		_ = evicted.Close()
	}
	c := &serverConn{Conn: conn, server: s, reader: NewReader(conn, s.limits), phase: idle, since: now}
	s.connections[c] = true
	s.done.Add(1)
	return c
}

// leastUseful is the connection to be closed where there are too many: of those that are lingering, the one that has been for the longest
// time; else of those that are idle, first those that never had a request, the one that has been for the longest time; else the one whose
// request has been incomplete for longer than its client can wait; nil: none. Many clients that send nothing, or never complete a request,
// must not keep out those that do.
func (s *Server) leastUseful(now time.Time) (candidate *serverConn) {
	for c := range s.connections {
		if (candidate == nil || c.closesBefore(candidate)) && c.closable(now, s.limits.AnswerWithin) {
			candidate = c
		}
	}
	return candidate
}

// DisableKeepAlives makes every answer from now on the last of its connection; new connections are still served.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Close ends the connections: the idle ones at once, the others after the answer to the current request, all of them within the time-out. It
// returns when all their goroutines have. The listener must be closed before.
func (s *Server) Close(timeout time.Duration) {
	s.closing.Store(true)
	s.each(func(c *serverConn) {
		if c.phase == idle {
			_ = c.SetReadDeadline(past) // serve ends it
		}
	})
	late := time.AfterFunc(timeout, func() { s.each(func(c *serverConn) { _ = c.Conn.Close() }) })
	s.done.Wait()
	late.Stop()
}

// each calls do for all connections, under the lock.
func (s *Server) each(do func(*serverConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		do(c)
	}
}

// crowded reports whether there are nearly as many connections as there may be.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections) > s.limits.ClientConnections*3/4
}

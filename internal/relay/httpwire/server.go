package httpwire

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/config"
)

// Handler answers one request, whose bytes are valid until it returns. It is called by the goroutine of the request's connection.
type Handler func(*Request) Answer

// Server serves clients' connections.
type Server struct {
	limits             *config.Limits
	handle             Handler
	closing            atomic.Bool // idle connections end, the others after their current answer
	keepAlivesDisabled atomic.Bool // each answer is the last on its connection

	mu          sync.Mutex // guards connections, and the fields phase, served and since of each
	connections map[*serverConn]bool
	done        sync.WaitGroup // waits for the connections' goroutines
}

// NewServer returns a server that answers requests by handle, on one goroutine per connection and at most Limits.ClientConnections
// connections.
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
			time.Sleep(5 * time.Millisecond) // probably out of file descriptors for the moment
			continue
		}
		if c := s.admit(conn); c != nil {
			go c.serve()
		}
	}
}

// admit adds a connection. If there are too many, it evicts the one that leastUseful selects, or else closes conn and returns nil.
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

// leastUseful returns the connection to evict if there are too many, or nil if none may be closed. It prefers the connection that has been
// lingering for longest; then the longest idle one, first among those that never had a request; then one whose request has been incomplete
// for longer than its client waits. So clients that send nothing, or never complete a request, can't shut out others.
func (s *Server) leastUseful(now time.Time) (candidate *serverConn) {
	for c := range s.connections {
		if (candidate == nil || c.closesBefore(candidate)) && c.closable(now, s.limits.AnswerWithin) {
			candidate = c
		}
	}
	return candidate
}

// DisableKeepAlives makes every answer from now on the last on its connection; new connections are still served.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Close ends the connections: idle ones at once, the others after the answer to their current request, but all of them within the time-out.
// It returns when all of their goroutines have ended. The listener must be closed before.
func (s *Server) Close(timeout time.Duration) {
	s.closing.Store(true)
	s.forEachConnection(func(c *serverConn) {
		if c.phase == idle {
			_ = c.SetReadDeadline(past) // ends the read in serve
		}
	})
	late := time.AfterFunc(timeout, func() { s.forEachConnection(func(c *serverConn) { _ = c.Conn.Close() }) })
	s.done.Wait()
	late.Stop()
}

// forEachConnection calls do for all connections, with mu locked.
func (s *Server) forEachConnection(do func(*serverConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		do(c)
	}
}

// crowded reports whether more than three quarters of the permitted connections are open.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections) > s.limits.ClientConnections*3/4
}

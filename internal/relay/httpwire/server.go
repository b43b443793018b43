package httpwire

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/relay/config"
)

// Handler answers one request, whose bytes it may use until it returns.
type Handler func(*Request) Answer

// Server serves clients' connections.
type Server struct {
	limits             *config.Limits
	handle             Handler
	closing            atomic.Bool // connections end where they stand between requests
	keepAlivesDisabled atomic.Bool // every answer is its connection's last

	mu          sync.Mutex // guards connections, and of each its phase, served and since
	connections map[*serverConn]bool
	done        sync.WaitGroup
}

// NewServer returns a server that hands requests to handle, one goroutine a connection.
func NewServer(limits *config.Limits, handle Handler) *Server {
	return &Server{limits: limits, handle: handle, connections: map[*serverConn]bool{}}
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
		if c := s.admit(conn); c != nil {
			go c.serve()
		}
	}
}

// admit takes conn on. With no room left another makes room for it, see leastUseful; where there is none conn itself is closed.
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

// leastUseful is the connection to be closed where there is no room left: of those that linger, the one that began to the longest ago;
// else of those that are idle, first those that have never asked for anything, the one that is so the longest; else the one whose
// request has been coming for longer than its client can wait; nil: none. A crowd that says nothing, or begins and never ends, must not
// keep out those who ask.
func (s *Server) leastUseful(now time.Time) (least *serverConn) {
	for c := range s.connections {
		if (least == nil || c.closesBefore(least)) && c.closable(now, s.limits.AnswerWithin) {
			least = c
		}
	}
	return least
}

// DisableKeepAlives makes every answer the last of its connection; it goes on answering.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Close ends the connections: those that are idle at once, the others with the answer to the request that has begun to come, all of
// them within the given time. It returns when no request is being handled any more.
func (s *Server) Close(within time.Duration) {
	s.closing.Store(true)
	s.each(func(c *serverConn) {
		if c.phase == idle {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // serve ends it
		}
	})
	late := time.AfterFunc(within, func() { s.each(func(c *serverConn) { _ = c.Conn.Close() }) })
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

// crowded tells whether there is little room left.
func (s *Server) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections) > s.limits.ClientConnections*3/4
}

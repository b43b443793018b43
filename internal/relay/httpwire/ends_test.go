package httpwire

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mastusher/internal/relay/wiretest"
)

// unread waits until bytes have come to a server's only connection that nobody has read.
func unread(t *testing.T, s *Server) {
	t.Helper()
	for range 2000 {
		come := false
		s.each(func(f *serverConn) { come = !isQuiet(f.Conn) })
		if come {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("nothing has come")
}

// TestServer_CloseOverUnreadBytes_AnswerArrives: a client's bytes come between the last byte of a request that is read and the close, every time: the handler has
// them sent. The answer arrives whole, and after it the end, not a reset, which may take the answer along.
func TestServer_CloseOverUnreadBytes_AnswerArrives(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		before  func(*Server)
		status  string
	}{
		"the client asks for the end":    {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", func(*Server) {}, "200 OK"},
		"the relay has been told to end": {"GET / HTTP/1.1\r\n\r\n", (*Server).DisableKeepAlives, "200 OK"},
		"there is little room left":      {"GET / HTTP/1.1\r\n\r\n", func(s *Server) { s.limits.ClientConnections = 1 }, "200 OK"},
		"a faulty request":               {"GET / HTTP/9\r\n\r\n" + strings.Repeat("x", 9000), func(*Server) {}, "400 Bad Request"},
	} {
		t.Run(name, func(t *testing.T) {
			l := wiretest.Listen(t)
			conn := wiretest.Dial(t, l.Addr().String())
			var s *Server
			s = NewServer(limits(), func(q *Request) Answer {
				_, _ = conn.Write([]byte("GET /next HTTP/1.1\r\n\r\n"))
				unread(t, s)
				return echo(q)
			})
			s.limits.FrontLinger = time.Minute
			c.before(s)
			go func() { _ = s.Serve(l) }()
			_, _ = conn.Write([]byte(c.request))
			got, err := io.ReadAll(conn)
			if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 "+c.status) || strings.Count(string(got), "HTTP/1.1") != 1 {
				t.Errorf("the client reads %q, %v", got, err)
			}
			_ = conn.Close()
			_ = l.Close()
			s.Close(time.Minute)
		})
	}
}

// late is a connection whose time runs out in the moment in which come is called, or which is closed in that moment.
type late struct {
	*net.TCPConn
	come     func()
	at       string // Read or Close
	timedOut bool
}

func (c *late) Read(b []byte) (int, error) {
	if c.timedOut {
		return c.TCPConn.Read(b)
	}
	if c.timedOut = true; c.at == "Read" {
		c.come()
	}
	return 0, os.ErrDeadlineExceeded
}

func (c *late) Close() error {
	if c.at == "Close" {
		c.come()
	}
	return c.TCPConn.Close()
}

// TestServer_IdleCloseRacesRequest_AnswersOrEnds: a request comes in the very moment in which its connection, which rested, is given up. Before the relay has made up
// its mind it is answered; after that it is never read, and its client reads a reset: an end would say that it was read.
func TestServer_IdleCloseRacesRequest_AnswersOrEnds(t *testing.T) {
	for _, at := range []string{"Read", "Close"} {
		l := wiretest.Listen(t)
		conn := wiretest.Dial(t, l.Addr().String())
		raw, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		handled := 0
		s := NewServer(limits(), func(*Request) Answer {
			handled++
			return Answer{Status: 429}
		})
		s.DisableKeepAlives()
		f := s.admit(&late{raw.(*net.TCPConn), func() {
			_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"))
			for range 2000 {
				if !isQuiet(raw) {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}, at, false})
		s.limits.FrontLinger = time.Minute
		go f.serve()
		got, err := io.ReadAll(conn)
		if at == "Read" && (err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 429") || handled != 1) {
			t.Errorf("before: the client reads %q, %v; handled %d times", got, err, handled)
		}
		if at == "Close" && (!errors.Is(err, syscall.ECONNRESET) || len(got) > 0 || handled != 0) {
			t.Errorf("after: the client reads %q, %v; handled %d times", got, err, handled)
		}
		_ = conn.Close()
		s.Close(time.Minute)
	}
}

// TestServer_CrowdOfHalfRequests_CompleteRequestIsServed: a crowd that begins its requests and never ends them has all the room there is. Whoever comes with a whole request is
// served, and the relay ends in time all the same.
func TestServer_CrowdOfHalfRequests_CompleteRequestIsServed(t *testing.T) {
	lim := limits()
	lim.AnswerWithin = 300 * time.Millisecond
	l := wiretest.Listen(t)
	s := NewServer(lim, echo)
	go func() { _ = s.Serve(l) }()
	for range lim.ClientConnections {
		conn := wiretest.Dial(t, l.Addr().String())
		_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nX-Begun: "))
	}
	for begun := 0; begun < lim.ClientConnections; time.Sleep(time.Millisecond) {
		begun = 0
		s.each(func(f *serverConn) {
			if f.phase == reading {
				begun++
				f.since = time.Now().Add(-time.Second) // they have been at it for longer than a client waits
			}
		})
	}
	wiretest.Run(t, wiretest.Dial(t, l.Addr().String()), "testdata/hurry/served.txt")
	_ = l.Close()
	s.Close(time.Millisecond) // those that have not ended by then are cut off
	if len(s.connections) != 0 {
		t.Errorf("%d connections are left", len(s.connections))
	}
}

// TestPool_PeerEndsKeptConnection_RetriesOnNew: the peer ends a kept connection, or writes half a line to it, between the relay's choice of it and the first byte,
// every time: the question whether it may write does that. Nothing is written, and nothing may have run.
func TestPool_PeerEndsKeptConnection_RetriesOnNew(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"ends it":       func(c net.Conn) { _ = c.Close() },
		"resets it":     func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		"half a line":   func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 2")) },
		"a late answer": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			l := wiretest.Listen(t)
			came := make(chan net.Conn, 1)
			requests := make(chan string, 9)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				came <- conn
				for r := NewReader(conn, limits()); ; {
					q, err := r.ReadRequest(nil)
					if err != nil {
						return
					}
					requests <- q.Path
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
			p, to := NewPool(limits()), Peer{"s-1", l.Addr().String()}
			if got := p.Do(t.Context(), to, []byte("GET /1 HTTP/1.1\r\n\r\n"), nil, func(*Response) {}); got != Answered {
				t.Fatalf("stage %d", got)
			}
			kept := p.idle[to][0]
			conn := <-came
			may := func() bool {
				act(conn)
				for range 2000 {
					if !isQuiet(kept.Conn) {
						break
					}
					time.Sleep(time.Millisecond)
				}
				return true
			}
			got := p.Do(t.Context(), to, []byte("GET /2 HTTP/1.1\r\n\r\n"), may, func(r *Response) { t.Errorf("it is answered %d", r.Status) })
			if got != Withheld || p.count != 0 {
				t.Errorf("stage %d with %d connections kept, want %d with none", got, p.count, Withheld)
			}
			_ = conn.Close()
			if first := <-requests; first != "/1" || len(requests) != 0 {
				t.Errorf("the peer had %q and %d more", first, len(requests))
			}
		})
	}
}

// TestPool_CanceledWhileDialing_WritesNothing: a call that is called off while its connection comes up writes nothing, is not asked for, and leaves no connection
// behind, also where that comes up in the same moment.
func TestPool_CanceledWhileDialing_WritesNothing(t *testing.T) {
	l := wiretest.Listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p := NewPool(limits())
	got := p.Do(ctx, Peer{Address: l.Addr().String()}, []byte("GET / HTTP/1.1\r\n\r\n"), func() bool {
		t.Error("it is asked whether it may write")
		return true
	}, nil)
	if got != Withheld || p.count != 0 {
		t.Errorf("stage %d with %d connections kept", got, p.count)
	}
}

// asleep is a connection that is not read before its client has gone.
type asleep struct {
	*net.TCPConn
	gone <-chan struct{}
}

func (c *asleep) Read(b []byte) (int, error) {
	<-c.gone
	return c.TCPConn.Read(b)
}

// TestServer_ClientGone_RequestIsNotHandled: a request is read only after its client has left, every time, as by a relay that was stopped for a while, or has little
// processor time. Its client hands it in elsewhere: it is not handled, and nothing runs twice for it.
func TestServer_ClientGone_RequestIsNotHandled(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		l := wiretest.Listen(t)
		conn := wiretest.Dial(t, l.Addr().String()).(*net.TCPConn)
		raw, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		s := NewServer(limits(), func(*Request) Answer {
			t.Errorf("%s: the request of a client that has gone is handled", name)
			return Answer{Status: 202}
		})
		gone, ended := make(chan struct{}), make(chan struct{})
		f := s.admit(&asleep{raw.(*net.TCPConn), gone})
		go func() { f.serve(); close(ended) }()
		_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"))
		leave(conn)
		for range 2000 { // until its end has come too
			var info *unix.TCPInfo
			sc, _ := raw.(*net.TCPConn).SyscallConn()
			_ = sc.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
			if err == nil && info.State != 1 { // it is not established any more
				break
			}
			time.Sleep(time.Millisecond)
		}
		close(gone)
		<-ended
	}
}

// TestPool_FirstAnswerOnConnection_IsMarked: the first answer on a connection is told apart from those that follow: only that one may turn the connection itself away.
func TestPool_FirstAnswerOnConnection_IsMarked(t *testing.T) {
	l := wiretest.Listen(t)
	s := NewServer(limits(), echo)
	go func() { _ = s.Serve(l) }()
	p, to := NewPool(limits()), Peer{"s-1", l.Addr().String()}
	for _, want := range []bool{true, false, false} {
		got := !want
		stage := p.Do(t.Context(), to, AppendRequest(nil, "GET", "/", "h", nil, nil), nil, func(r *Response) { got = r.FirstOnConnection })
		if stage != Answered || got != want {
			t.Errorf("stage %d, fresh %v, want %v", stage, got, want)
		}
	}
	p.CloseIdle(to)
	_ = l.Close()
	s.Close(time.Minute)
}

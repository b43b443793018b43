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

// awaitUnread waits until a server's only connection has unread bytes.
func awaitUnread(t *testing.T, s *Server) {
	t.Helper()
	for range 2000 {
		unread := false
		s.forEachConnection(func(f *serverConn) { unread = !isOpenWithoutData(f.Conn) })
		if unread {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no bytes have arrived on the connection")
}

// TestServer_CloseOverUnreadBytes_AnswerArrives: further bytes of the client always arrive between the request and the close, since the
// handler makes the client send them. The client must receive the complete answer and then the end of the connection, not a reset, which
// may discard the answer.
func TestServer_CloseOverUnreadBytes_AnswerArrives(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		before  func(*Server)
		status  string
	}{
		"client requests the close":   {"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", func(*Server) {}, "200 OK"},
		"keep-alives disabled":        {"GET / HTTP/1.1\r\n\r\n", (*Server).DisableKeepAlives, "200 OK"},
		"nearly too many connections": {"GET / HTTP/1.1\r\n\r\n", func(server *Server) { server.limits.ClientConnections = 1 }, "200 OK"},
		"malformed request":           {"GET / HTTP/9\r\n\r\n" + strings.Repeat("x", 9000), func(*Server) {}, "400 Bad Request"},
	} {
		t.Run(name, func(t *testing.T) {
			listener := wiretest.Listen(t)
			conn := wiretest.Dial(t, listener.Addr().String())
			var server *Server
			server = NewServer(limits(), func(request *Request) Answer {
				_, _ = conn.Write([]byte("GET /next HTTP/1.1\r\n\r\n"))
				awaitUnread(t, server)
				return echo(request)
			})
			server.limits.FrontLinger = time.Minute
			test.before(server)
			go func() { _ = server.Serve(listener) }()
			_, _ = conn.Write([]byte(test.request))
			got, err := io.ReadAll(conn)
			if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 "+test.status) || strings.Count(string(got), "HTTP/1.1") != 1 {
				t.Errorf("the client reads %q, %v", got, err)
			}
			_ = conn.Close()
			_ = listener.Close()
			server.Close(time.Minute)
		})
	}
}

// racingConn is a connection on which a request arrives at the moment of a read time-out or of the close.
type racingConn struct {
	*net.TCPConn
	arrive   func() // makes a request arrive
	moment   string // "Read" or "Close": the method during which the request arrives
	timedOut bool
}

func (c *racingConn) Read(b []byte) (int, error) {
	if c.timedOut {
		return c.TCPConn.Read(b)
	}
	if c.timedOut = true; c.moment == "Read" {
		c.arrive()
	}
	return 0, os.ErrDeadlineExceeded
}

func (c *racingConn) Close() error {
	if c.moment == "Close" {
		c.arrive()
	}
	return c.TCPConn.Close()
}

// TestServer_IdleCloseRacesRequest_AnswersOrEnds: a request arrives while its idle connection is being closed. Before the server's last
// check it is answered. After that check it is never read, and the client gets a reset: an orderly end would mean that the request may have
// been read.
func TestServer_IdleCloseRacesRequest_AnswersOrEnds(t *testing.T) {
	for _, moment := range []string{"Read", "Close"} {
		listener := wiretest.Listen(t)
		conn := wiretest.Dial(t, listener.Addr().String())
		raw, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		handled := 0
		server := NewServer(limits(), func(*Request) Answer {
			handled++
			return Answer{Status: 429}
		})
		server.DisableKeepAlives()
		served := server.admit(&racingConn{raw.(*net.TCPConn), func() {
			_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"))
			for range 2000 {
				if !isOpenWithoutData(raw) {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}, moment, false})
		server.limits.FrontLinger = time.Minute
		go served.serve()
		got, err := io.ReadAll(conn)
		if moment == "Read" && (err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 429") || handled != 1) {
			t.Errorf("request before the check: the client reads %q, %v; handled %d times", got, err, handled)
		}
		if moment == "Close" && (!errors.Is(err, syscall.ECONNRESET) || len(got) > 0 || handled != 0) {
			t.Errorf("request after the check: the client reads %q, %v; handled %d times", got, err, handled)
		}
		_ = conn.Close()
		server.Close(time.Minute)
	}
}

// TestServer_ManyIncompleteRequests_CompleteOneIsServed: clients that never complete their requests occupy all permitted connections. A
// client with a complete request is still served, and Close still ends in time.
func TestServer_ManyIncompleteRequests_CompleteOneIsServed(t *testing.T) {
	limited := limits()
	limited.AnswerWithin = 300 * time.Millisecond
	listener := wiretest.Listen(t)
	server := NewServer(limited, echo)
	go func() { _ = server.Serve(listener) }()
	for range limited.ClientConnections {
		conn := wiretest.Dial(t, listener.Addr().String())
		_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nX-Begun: "))
	}
	for incomplete := 0; incomplete < limited.ClientConnections; time.Sleep(time.Millisecond) {
		incomplete = 0
		server.forEachConnection(func(conn *serverConn) {
			if conn.phase == reading {
				incomplete++
				conn.since = time.Now().Add(-time.Second) // incomplete for longer than a client waits
			}
		})
	}
	wiretest.Run(t, wiretest.Dial(t, listener.Addr().String()), "testdata/hurry/served.txt")
	_ = listener.Close()
	server.Close(time.Millisecond) // closes connections that have not ended by then
	if len(server.connections) != 0 {
		t.Errorf("%d connections are left after Close", len(server.connections))
	}
}

// TestPool_PeerEndsReusedConnection_CallIsWithheld: the peer always closes a reused connection, or writes to it, after the pool has chosen
// it and before the first byte, since mayWrite makes the peer do so. The call must not be written, and must end as one that has not run.
func TestPool_PeerEndsReusedConnection_CallIsWithheld(t *testing.T) {
	for name, act := range map[string]func(net.Conn){
		"ends it":       func(c net.Conn) { _ = c.Close() },
		"resets it":     func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
		"half a line":   func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 2")) },
		"a late answer": func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")) },
	} {
		t.Run(name, func(t *testing.T) {
			listener := wiretest.Listen(t)
			connected := make(chan net.Conn, 1)
			requests := make(chan string, 9)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				connected <- conn
				for r := NewReader(conn, limits()); ; {
					q, err := r.ReadRequest(nil)
					if err != nil {
						return
					}
					requests <- q.Path
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				}
			}()
			pool, peer := NewPool(limits()), Peer{"s-1", listener.Addr().String()}
			if got := pool.Do(t.Context(), peer, []byte("GET /1 HTTP/1.1\r\n\r\n"), nil, func(*Response) {}); got != Answered {
				t.Fatalf("the first call ends at stage %d, want Answered", got)
			}
			reused := pool.idle[peer][0]
			conn := <-connected
			mayWrite := func() bool {
				act(conn)
				for range 2000 {
					if !isOpenWithoutData(reused.Conn) {
						break
					}
					time.Sleep(time.Millisecond)
				}
				return true
			}
			got := pool.Do(t.Context(), peer, []byte("GET /2 HTTP/1.1\r\n\r\n"), mayWrite, func(r *Response) {
				t.Errorf("the call is answered with status %d, want no answer",
					r.Status)
			})
			if got != Withheld || pool.count != 0 {
				t.Errorf("stage %d with %d connections idle, want %d with none", got, pool.count, Withheld)
			}
			_ = conn.Close()
			if first := <-requests; first != "/1" || len(requests) != 0 {
				t.Errorf("the peer received %q and %d more requests, want only /1", first, len(requests))
			}
		})
	}
}

// TestPool_CanceledWhileDialing_WritesNothing: a call that is cancelled while connecting writes nothing, does not call mayWrite, and leaves
// no connection open, even if the connection is established at the same moment.
func TestPool_CanceledWhileDialing_WritesNothing(t *testing.T) {
	l := wiretest.Listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p := NewPool(limits())
	got := p.Do(ctx, Peer{Address: l.Addr().String()}, []byte("GET / HTTP/1.1\r\n\r\n"), func() bool {
		t.Error("mayWrite is called for a cancelled call")
		return true
	}, nil)
	if got != Withheld || p.count != 0 {
		t.Errorf("stage %d with %d idle connections, want Withheld with none", got, p.count)
	}
}

// stalledConn is a connection whose reads block until its client has left.
type stalledConn struct {
	*net.TCPConn
	left <-chan struct{}
}

func (c *stalledConn) Read(b []byte) (int, error) {
	<-c.left
	return c.TCPConn.Read(b)
}

// TestServer_ClientLeft_RequestIsNotHandled: a request is always read only after its client has left, as by a relay that was stopped for a
// while or gets little processor time. The client submits the message elsewhere, so handling the request would run it twice.
func TestServer_ClientLeft_RequestIsNotHandled(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset":  func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		listener := wiretest.Listen(t)
		conn := wiretest.Dial(t, listener.Addr().String()).(*net.TCPConn)
		raw, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		server := NewServer(limits(), func(*Request) Answer {
			t.Errorf("%s: the request of a client that has left is handled", name)
			return Answer{Status: 202}
		})
		left, ended := make(chan struct{}), make(chan struct{})
		served := server.admit(&stalledConn{raw.(*net.TCPConn), left})
		go func() { served.serve(); close(ended) }()
		_, _ = conn.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"))
		leave(conn)
		for range 2000 { // until the client's close has arrived too
			var info *unix.TCPInfo
			socket, _ := raw.(*net.TCPConn).SyscallConn()
			_ = socket.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
			if err == nil && info.State != 1 { // no longer in the state established
				break
			}
			time.Sleep(time.Millisecond)
		}
		close(left)
		<-ended
	}
}

// TestPool_FirstAnswerOnConnection_IsMarked: only the first answer on a connection is marked, since only that one may reject the
// connection.
func TestPool_FirstAnswerOnConnection_IsMarked(t *testing.T) {
	l := wiretest.Listen(t)
	s := NewServer(limits(), echo)
	go func() { _ = s.Serve(l) }()
	p, to := NewPool(limits()), Peer{"s-1", l.Addr().String()}
	for _, want := range []bool{true, false, false} {
		got := !want
		stage := p.Do(t.Context(), to, AppendRequest(nil, "GET", "/", "h", nil, nil), nil, func(r *Response) { got = r.FirstOnConnection })
		if stage != Answered || got != want {
			t.Errorf("stage %d, FirstOnConnection %v, want %v", stage, got, want)
		}
	}
	p.CloseIdle(to)
	_ = l.Close()
	s.Close(time.Minute)
}

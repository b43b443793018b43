package httpwire

import (
	"bytes"
	"context"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mastusher/internal/relay/config"
	"mastusher/internal/relay/wiretest"
)

func limits() *config.Limits {
	return &config.Limits{HeadSize: 16 << 10, BodySize: 64 << 10, ClientConnections: 8, FrontIdle: time.Minute,
		FrontRead: time.Minute, FrontWrite: time.Minute, AnswerRead: time.Minute, MaxInterim: 4, IdleEndpoints: 4, IdlePerEndpoint: 2,
		IdleSocket: time.Minute, ConnectTimeout: time.Minute, WatchTimeout: time.Minute}
}

func echo(q *Request) Answer {
	return Answer{Status: 200, Body: []byte(q.Method + " " + q.Path + " " + string(q.Body))}
}

func TestServer_Exchanges(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			l := wiretest.Listen(t)
			s := NewServer(limits(), echo)
			go func() { _ = s.Serve(l) }()
			conn := wiretest.Dial(t, l.Addr().String())
			wiretest.Run(t, conn, file)
			_ = conn.Close()
			_ = l.Close()
			s.Close(time.Minute) // waits for all connections: none may be left open
		})
	}
}

// ok is a complete answer with a body.
const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// callEnds are the ways in which a call can end.
var callEnds = []struct {
	name   string
	answer func(conn net.Conn, cancel func())
	want   Stage
	idle   int // connections that can be reused afterwards
}{
	{"answered", func(c net.Conn, _ func()) { _, _ = c.Write([]byte(ok)) }, Answered, 1},
	{"answered, and closed", func(c net.Conn, _ func()) {
		_, _ = c.Write([]byte("HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}, Answered, 0},
	{"bytes after the answer: the connection is not reused", func(c net.Conn, _ func()) { _, _ = c.Write([]byte(ok + "x")) }, Answered, 0},
	{"broken after the last byte", func(c net.Conn, _ func()) { _ = c.Close() }, Broken, 0},
	{"answered after interim answers", func(c net.Conn, _ func()) {
		_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + ok))
	}, Answered, 1},
	{"too many interim answers", func(c net.Conn, _ func()) {
		_, _ = c.Write([]byte(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9)))
	}, Broken, 0},
	{"truncated within the answer", func(c net.Conn, _ func()) { _, _ = c.Write([]byte(ok[:30])); _ = c.Close() }, Malformed, 0},
	{"not HTTP, and no end of line", func(c net.Conn, _ func()) { _, _ = c.Write([]byte("\x00\x01\xff\xfe noise")) }, Malformed, 0},
	{"malformed status", func(c net.Conn, _ func()) { _, _ = c.Write([]byte("HTTP/1.1 2OO OK\r\n\r\n")) }, Malformed, 0},
	{"malformed header", func(c net.Conn, _ func()) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\x00\r\n\r\n")) }, Malformed, 0},
	{"endless header", func(c net.Conn, _ func()) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 4<<10)))
	}, Malformed, 0},
	{"announced body of 3 GB", func(c net.Conn, _ func()) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxxxx"))
	}, Malformed, 0},
	{"body shorter than its length", func(c net.Conn, _ func()) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"))
	}, Malformed, 0},
	{"cancelled", func(_ net.Conn, cancel func()) { cancel() }, Canceled, 0},
}

// TestPool_EveryEnd_HasItsStage: each way in which a call can end is reported with the right Stage, by which
// the caller decides whether the message may be retried.
func TestPool_EveryEnd_HasItsStage(t *testing.T) {
	for _, test := range callEnds {
		t.Run(test.name, func(t *testing.T) {
			listener := wiretest.Listen(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				if _, err := NewReader(conn, limits()).ReadRequest(nil); err == nil {
					test.answer(conn, cancel)
				}
			}()
			limited := limits()
			limited.AnswerRead = 100 * time.Millisecond // only "body shorter than its length" waits for it
			pool := NewPool(limited)
			address := listener.Addr().String()
			got := pool.Do(ctx, Peer{Address: address}, AppendRequest(nil, "POST", "/", address, nil, []byte("hi")), nil, func(*Response) {})
			if got != test.want || pool.count != test.idle {
				t.Errorf("stage %d with %d idle connections, want %d with %d", got, pool.count, test.want, test.idle)
			}
		})
	}
	listener := wiretest.Listen(t)
	address := listener.Addr().String()
	_ = listener.Close()
	if got := NewPool(limits()).Do(context.Background(), Peer{Address: address}, []byte("x"), nil, nil); got != NotConnected {
		t.Errorf("a refused connection is stage %d, want %d", got, NotConnected)
	}
}

// TestPool_LateConnection_WritesNothing: if mayWrite returns false once the connection is established, nothing is written. The call's
// window may be over by then, or its destination may have throttled the relay.
func TestPool_LateConnection_WritesNothing(t *testing.T) {
	l := wiretest.Listen(t)
	address := l.Addr().String()
	p := NewPool(limits())
	no := func() bool { return false }
	got := p.Do(context.Background(), Peer{Address: address}, []byte("POST / HTTP/1.1\r\n\r\n"), no, nil)
	if got != Withheld {
		t.Errorf("stage %d, want %d", got, Withheld)
	}
}

// TestPool_StaleConnection_RetriesOnNew: a request must not be written to an idle connection that the peer has closed: it would be lost,
// and the pool may not send a request again by itself.
func TestPool_StaleConnection_RetriesOnNew(t *testing.T) {
	listener := wiretest.Listen(t)
	closed := make(chan struct{})
	go func() {
		for i := range 2 {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = NewReader(conn, limits()).ReadRequest(nil)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			if i == 0 {
				_ = conn.Close()
				close(closed)
			}
		}
	}()
	pool := NewPool(limits())
	address := listener.Addr().String()
	request := AppendRequest(nil, "GET", "/", address, nil, nil)
	for range 2 {
		if got := pool.Do(context.Background(), Peer{Address: address}, request, nil, func(r *Response) {
			if !r.FirstOnConnection {
				t.Error("the answer is not marked as the first on a new connection")
			}
		}); got != Answered {
			t.Fatalf("stage %d, want an answer", got)
		}
		<-closed
	}
	if pool.CloseIdle(Peer{Address: address}); pool.count != 0 {
		t.Errorf("%d connections left after CloseIdle", pool.count)
	}
}

func TestStream_ChunkedBody_YieldsLines(t *testing.T) {
	listener := wiretest.Listen(t)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = NewReader(conn, limits()).ReadRequest(nil)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\n\nb\r\n1\r\n\n\r\n0\r\n\r\n"))
		}
	}()
	stream, err := OpenStream(context.Background(), listener.Addr().String(), []byte("GET / HTTP/1.1\r\n\r\n"), limits())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var got []string
	for {
		received, err := stream.Next(time.Now().Add(time.Minute))
		if err != nil {
			break
		}
		got = append(got, string(received))
	}
	if strings.Join(got, "|") != "a||b" {
		t.Errorf("lines %q, want a, an empty one and b", got)
	}
}

// TestPool_AddressReused_OldConnectionIsNotUsed: a call to a new machine must not use a connection to the machine that had its address
// before.
func TestPool_AddressReused_OldConnectionIsNotUsed(t *testing.T) {
	p := NewPool(limits())
	old, _ := net.Pipe()
	p.keep(Peer{"s-1", "h:1"}, &clientConn{Conn: old})
	if p.take(Peer{"s-2", "h:1"}) != nil || p.take(Peer{"s-1", "h:1"}) == nil {
		t.Error("want the connection reused only for s-1")
	}
}

// TestPool_IdleConnectionLost_ShorterTrust: some machines drop idle connections silently. After a call was lost on an idle connection,
// connections that have been idle for as long are not used for a while.
func TestPool_IdleConnectionLost_ShorterTrust(t *testing.T) {
	limited := limits()
	limited.IdleTrustMin, limited.IdleTrustDoubling = 100*time.Millisecond, time.Hour
	pool, peer := NewPool(limited), Peer{"s-1", "h:1"}
	usable := func(idle time.Duration) bool {
		conn, _ := net.Pipe()
		pool.idle[peer] = []*clientConn{{Conn: conn, idleSince: time.Now().Add(-idle)}}
		return pool.take(peer) != nil
	}
	before := usable(30 * time.Second)
	conn, lost := net.Pipe()
	go func() { // the peer takes the request and resets the connection
		_, _ = lost.Read(make([]byte, 99))
		_ = lost.Close()
	}()
	pool.idle[peer] = []*clientConn{{Conn: conn, reader: NewReader(conn, limited), limits: limited, idleSince: time.Now().Add(-20 * time.Second)}}
	if got := pool.Do(context.Background(), peer, []byte("POST"), nil, nil); got != Broken {
		t.Fatalf("stage %d, want %d", got, Broken)
	}
	if !before || usable(20*time.Second) || !usable(10*time.Second) {
		t.Error("want 30 s usable before the loss, and after it 10 s but not 20 s")
	}
	if pool.reduceTrust(time.Millisecond); !usable(50 * time.Millisecond) {
		t.Error("a connection that was idle for less than IdleTrustMin is not used")
	}
	if pool.idleTrustAt = time.Now().Add(-3 * time.Hour); !usable(700*time.Millisecond) || usable(900*time.Millisecond) {
		t.Error("want 8 times the idle time trusted after three hours")
	}
}

// TestServer_TooManyConnections_ClosesLeastUseful: idle clients must not shut out others. Connections are evicted in the order in which
// they are added below, but never one whose request is being answered or has just begun to arrive.
func TestServer_TooManyConnections_ClosesLeastUseful(t *testing.T) {
	limited := limits()
	limited.AnswerWithin = 300 * time.Millisecond
	server := NewServer(limited, echo)
	now := time.Now()
	var want []*serverConn
	add := func(p phase, served bool, ago time.Duration) {
		conn, _ := net.Pipe()
		admitted := server.admit(conn)
		admitted.phase, admitted.served, admitted.since = p, served, now.Add(-ago)
		want = append(want, admitted)
	}
	add(lingering, true, time.Second)
	add(lingering, true, time.Millisecond)
	add(idle, false, time.Millisecond) // has never sent a complete request
	add(idle, true, time.Hour)
	add(idle, true, time.Minute)
	add(reading, false, time.Second) // its client no longer waits
	closable := len(want)
	add(reading, true, 0)
	add(answering, true, time.Hour)
	if limited.ClientConnections != len(want) {
		t.Fatalf("the limit is %d connections, want %d", limited.ClientConnections, len(want))
	}
	for i, evicted := range want[:closable] {
		conn, _ := net.Pipe()
		admitted := server.admit(conn)
		if admitted == nil || server.connections[evicted] || evicted.setPhase(idle) {
			t.Fatalf("connection %d was not closed", i)
		}
		admitted.phase = answering
	}
	conn, other := net.Pipe()
	if server.admit(conn) != nil || len(server.connections) != len(want) {
		t.Error("a connection is admitted beyond the limit")
	}
	if _, err := other.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the refused connection ends with %v, want io.EOF", err)
	}
}

// TestServer_SilentClients_AreClosed: connections of clients that send nothing, or never complete a request, are closed after a time-out.
func TestServer_SilentClients_AreClosed(t *testing.T) {
	limited := limits()
	limited.FrontIdle, limited.FrontRead = 20*time.Millisecond, 40*time.Millisecond
	listener := wiretest.Listen(t)
	server := NewServer(limited, echo)
	go func() { _ = server.Serve(listener) }()
	for _, file := range []string{"testdata/hurry/silent.txt", "testdata/hurry/half.txt"} {
		wiretest.Run(t, wiretest.Dial(t, listener.Addr().String()), file)
	}
}

func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), limits())
		for range 4 {
			p, err := r.ReadResponse()
			if p != nil && (p.Status < 100 || p.Status > 999 || len(p.Body) > len(in)) {
				t.Errorf("status %d with a body of %d bytes parsed from %d bytes", p.Status, len(p.Body), len(in))
			}
			if err != nil {
				return
			}
		}
	})
}

func FuzzReadRequest(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), limits())
		for range 4 {
			q, err := r.ReadRequest(nil)
			if err != nil {
				return
			}
			if q.Method == "" || len(q.Body) > limits().BodySize || len(q.Body) > len(in) {
				t.Errorf("method %q with a body of %d bytes parsed from %d bytes", q.Method, len(q.Body), len(in))
			}
		}
	})
}

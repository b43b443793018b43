package httpwire

import (
	"bytes"
	"context"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mastusher/internal/config"
	"mastusher/internal/exchange"
)

func limits() *config.Limits {
	return &config.Limits{HeadSize: 16 << 10, BodySize: 64 << 10, FrontSockets: 8, FrontIdle: time.Minute,
		FrontRead: time.Minute, IdleDestinations: 4, IdlePerDestination: 2, IdleSocket: time.Minute,
		ConnectTimeout: time.Minute, WatchSilence: time.Minute}
}

func echo(q *Request) Answer {
	return Answer{Status: 200, Body: []byte(q.Method + " " + q.Path + " " + string(q.Body))}
}

func TestServer(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			l := exchange.Listen(t)
			s := NewServer(limits(), echo)
			go func() { _ = s.Serve(l) }()
			conn := exchange.Dial(t, l.Addr().String())
			exchange.Play(t, conn, file)
			_ = conn.Close()
			_ = l.Close()
			s.Close() // waits for every connection: none may be left behind
		})
	}
}

// TestPool tells apart the ways in which a call can end: each decides whether the message may be sent again.
func TestPool(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, c := range []struct {
		name   string
		answer func(conn net.Conn, cancel func())
		want   Stage
		kept   int
	}{
		{"answered", func(c net.Conn, _ func()) { _, _ = c.Write([]byte(ok)) }, Answered, 1},
		{"answered, and closed", func(c net.Conn, _ func()) {
			_, _ = c.Write([]byte("HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		}, Answered, 0},
		{"more than an answer: the connection is spoilt", func(c net.Conn, _ func()) { _, _ = c.Write([]byte(ok + "x")) }, Answered, 0},
		{"broken after the last byte", func(c net.Conn, _ func()) { _ = c.Close() }, Broken, 0},
		{"cut within the answer", func(c net.Conn, _ func()) { _, _ = c.Write([]byte(ok[:30])); _ = c.Close() }, Broken, 0},
		{"called off", func(_ net.Conn, cancel func()) { cancel() }, CalledOff, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := exchange.Listen(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if _, err := NewReader(conn, limits()).ReadRequest(nil); err == nil {
					c.answer(conn, cancel)
				}
			}()
			p := NewPool(limits())
			address := l.Addr().String()
			got := p.Do(ctx, address, AppendRequest(nil, "POST", "/", address, nil, []byte("hi")), time.Time{}, func(*Response) {})
			if got != c.want || p.count != c.kept {
				t.Errorf("stage %d with %d connections kept, want %d with %d", got, p.count, c.want, c.kept)
			}
		})
	}
	l := exchange.Listen(t)
	address := l.Addr().String()
	_ = l.Close()
	if got := NewPool(limits()).Do(context.Background(), address, []byte("x"), time.Time{}, nil); got != NotConnected {
		t.Errorf("a refused connection is stage %d, want %d", got, NotConnected)
	}
}

// TestBefore guards against a repeat that leaves after its window because its connection came up late: the
// partner would take it for a new message.
func TestBefore(t *testing.T) {
	l := exchange.Listen(t)
	address := l.Addr().String()
	p := NewPool(limits())
	got := p.Do(context.Background(), address, []byte("POST / HTTP/1.1\r\n\r\n"), time.Now(), nil)
	if got != NotConnected {
		t.Errorf("stage %d, want %d", got, NotConnected)
	}
}

// TestStale guards against a request on a kept connection that the other side has closed: it would be lost
// with the message, and may not be sent again without the core's knowing.
func TestStale(t *testing.T) {
	l := exchange.Listen(t)
	closed := make(chan struct{})
	go func() {
		for i := range 2 {
			conn, err := l.Accept()
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
	p := NewPool(limits())
	address := l.Addr().String()
	request := AppendRequest(nil, "GET", "/", address, nil, nil)
	for range 2 {
		if got := p.Do(context.Background(), address, request, time.Time{}, func(*Response) {}); got != Answered {
			t.Fatalf("stage %d, want an answer", got)
		}
		<-closed
	}
	if p.Retire(address); p.count != 0 {
		t.Errorf("%d connections left after Retire", p.count)
	}
}

func TestStream(t *testing.T) {
	l := exchange.Listen(t)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = NewReader(conn, limits()).ReadRequest(nil)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\n\nb\r\n1\r\n\n\r\n0\r\n\r\n"))
		}
	}()
	s, err := OpenStream(context.Background(), l.Addr().String(), []byte("GET / HTTP/1.1\r\n\r\n"), limits())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	var got []string
	for {
		line, err := s.Next()
		if err != nil {
			break
		}
		got = append(got, string(line))
	}
	if strings.Join(got, "|") != "a||b" {
		t.Errorf("lines %q", got)
	}
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
				t.Errorf("%q with a body of %d bytes out of %d", q.Method, len(q.Body), len(in))
			}
		}
	})
}

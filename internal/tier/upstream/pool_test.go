package upstream_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/upstream"
)

// respondKeepAlive responds with a body that names the request's id, and allows the connection to be reused.
func respondKeepAlive(socket net.Conn, request received) bool {
	respond(socket, request, "body of "+request.header.Get("X-Attempt-Id"), "Keep-Alive: timeout=30")
	return true
}

func TestPool_Connections_AreKeptByEndpointID(t *testing.T) {
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{})
	for i, id := range []string{"first", "first", "second", "first"} {
		if _, err := exchange(t, pool, e.target(id), newRequest("GET", "/", fmt.Sprint(i))); err != nil {
			t.Fatal(err)
		}
	}
	requests, connections := e.seen()
	var used []int
	for _, request := range requests {
		used = append(used, request.connection)
	}
	if diff := cmp.Diff([]int{1, 1, 2, 1}, used); diff != "" || connections != 2 {
		t.Errorf("connections of the requests (-want +got):\n%s\n%d connections, want 2", diff, connections)
	}
}

func TestPool_UnfitConnection_IsNotReused(t *testing.T) {
	cases := []struct {
		name   string
		answer func(socket net.Conn, request received) bool
	}{
		{"after Connection: close", func(socket net.Conn, request received) bool {
			respond(socket, request, "x", "Connection: close")
			return true
		}},
		{"after Keep-Alive: timeout=0", func(socket net.Conn, request received) bool {
			respond(socket, request, "x", "Keep-Alive: timeout=0")
			return true
		}},
		{"after surplus bytes", func(socket net.Conn, request received) bool {
			_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+request.header.Get("X-Attempt-Id")+
				"\r\nKeep-Alive: timeout=30\r\nContent-Length: 1\r\n\r\nxsurplus")
			return true
		}},
		{"after a close-delimited response", func(socket net.Conn, request received) bool {
			_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+request.header.Get("X-Attempt-Id")+"\r\n\r\nx")
			return false
		}},
		{"after the endpoint closed the connection", func(socket net.Conn, request received) bool {
			respond(socket, request, "x", "Keep-Alive: timeout=30")
			return false
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, test.answer)
			pool := newPool(t, upstream.Options{})
			for i := range 2 {
				body, err := exchange(t, pool, e.target("e"), newRequest("POST", "/", fmt.Sprint(i), "body"))
				if err != nil || body != "x" {
					t.Fatalf("request %d: got body %q and error %v, want \"x\"", i, body, err)
				}
				if i == 0 && test.name == "after the endpoint closed the connection" {
					<-e.closed
				}
			}
			if requests, connections := e.seen(); len(requests) != 2 || connections != 2 {
				t.Errorf("the endpoint received %d requests on %d connections, want 2 on 2", len(requests), connections)
			}
		})
	}
}

func TestPool_IdleConnection_IsClosedBeforeEndpointsTimeout(t *testing.T) {
	clock := newClock()
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		respond(socket, request, "x", "Keep-Alive: timeout=5, max=100")
		return true
	})
	pool := newPool(t, upstream.Options{Now: clock.now})
	send := func(id string) {
		if _, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", id)); err != nil {
			t.Fatal(err)
		}
	}
	send("1")
	clock.advance(5*time.Second - upstream.DefaultIdleTimeoutMargin - time.Millisecond)
	send("2")
	clock.advance(5*time.Second - upstream.DefaultIdleTimeoutMargin)
	send("3")
	requests, _ := e.seen()
	if requests[1].connection != 1 || requests[2].connection != 2 {
		t.Errorf("requests 2 and 3 used connections %d and %d, want 1 and 2", requests[1].connection, requests[2].connection)
	}
	<-e.closed
}

func TestReaper_ExpiredConnections_AreClosed(t *testing.T) {
	clock := newClock()
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{Now: clock.now})
	if _, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "1")); err != nil {
		t.Fatal(err)
	}
	clock.advance(time.Minute)
	if number := <-e.closed; number != 1 {
		t.Errorf("connection %d was closed, want 1", number)
	}
}

func TestPool_MaxConnections_BoundsEachEndpoint(t *testing.T) {
	release := make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		<-release
		return respondKeepAlive(socket, request)
	})
	pool := newPool(t, upstream.Options{})
	target := e.target("e")
	target.MaxConnections = 1
	done := make(chan error)
	go func() {
		_, err := exchange(t, pool, target, newRequest("GET", "/", "1"))
		done <- err
	}()
	for inUse := 0; inUse == 0; inUse, _ = pool.Connections("e") {
	}
	_, err := exchange(t, pool, target, newRequest("GET", "/", "2"))
	expectError(t, err, upstream.NeverSent, upstream.PoolExhausted)
	close(release)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if _, err := exchange(t, pool, target, newRequest("GET", "/", "3")); err != nil {
		t.Errorf("after the first request had ended: %v", err)
	}
}

func TestPool_LateSurplusBytes_AreNoResponse(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		if request.header.Get("X-Attempt-Id") == "2" {
			_, _ = io.WriteString(socket, "surplus")
		}
		return respondKeepAlive(socket, request)
	})
	pool := newPool(t, upstream.Options{})
	if _, err := exchange(t, pool, e.target("e"), newRequest("POST", "/", "1", "body")); err != nil {
		t.Fatal(err)
	}
	_, err := exchange(t, pool, e.target("e"), newRequest("POST", "/", "2", "body"))
	expectError(t, err, upstream.MayHaveRun, upstream.ReadFailed)
	if _, err := exchange(t, pool, e.target("e"), newRequest("POST", "/", "3", "body")); err != nil {
		t.Errorf("request 3, on a new connection: %v", err)
	}
	if requests, connections := e.seen(); len(requests) != 3 || connections != 2 {
		t.Errorf("the endpoint received %d requests on %d connections, want 3 on 2", len(requests), connections)
	}
}

func TestPool_ManyCallers_Share(t *testing.T) {
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{})
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for i := range 50 {
				id := fmt.Sprintf("%d-%d", caller, i)
				body, err := exchange(t, pool, e.target(fmt.Sprint("e", i%3)), newRequest("POST", "/", id, id))
				if err != nil || body != "body of "+id {
					t.Errorf("request %s: got body %q and error %v", id, body, err)
				}
			}
		})
	}
	callers.Wait()
	if requests, _ := e.seen(); len(requests) != 400 {
		t.Errorf("the endpoint received %d requests, want 400", len(requests))
	}
}

// clock is a clock that a test sets forward.
type clock struct {
	mutex sync.Mutex
	time  time.Time
}

func newClock() *clock { return &clock{time: time.Unix(1000, 0)} }

func (c *clock) now() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.time
}

func (c *clock) advance(by time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.time = c.time.Add(by)
}

func TestPool_EarlyResponseWhileWriting_ConnectionIsNotReused(t *testing.T) {
	// given an endpoint that responds after the first bytes of a long request, and reads the rest once readRest is closed
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	readRest, bytesRead := make(chan struct{}), make(chan []byte, 2)
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				head := make([]byte, 4)
				_, _ = io.ReadFull(socket, head)
				_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+map[string]string{"POST": "1", "GET ": "2"}[string(head)]+
					"\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n")
				<-readRest
				rest, _ := io.ReadAll(socket)
				bytesRead <- append(head, rest...)
			}()
		}
	}()
	pool := newPool(t, upstream.Options{})
	target := upstream.Endpoint{ID: "e", Address: listener.Addr().String()}
	long := newRequest("POST", "/", "1", strings.Repeat("x", 32<<20))
	// when the long request's response has been read, and another request is sent
	for _, request := range []*upstream.Request{long, newRequest("GET", "/", "2")} {
		if _, err := exchange(t, pool, target, request); err != nil {
			t.Fatal(err)
		}
	}
	pool.Close()
	close(readRest)
	// then each connection has carried one request, and the first one nothing but the beginning of the long request
	for range 2 {
		got := string(<-bytesRead)
		if posts, gets := strings.Count(got, "POST / "), strings.Count(got, "GET / "); posts+gets != 1 {
			t.Errorf("one connection carried %d POST and %d GET requests, want 1 in all", posts, gets)
		}
		if _, body, _ := strings.Cut(got, "\r\n\r\n"); strings.Trim(body, "x") != "" {
			t.Errorf("the body of the long request contains other bytes: %.80q", strings.Trim(body, "x"))
		}
	}
}

func TestPool_HalfClosedConnection_IsNotReused(t *testing.T) {
	halfClosed := make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		respondKeepAlive(socket, request)
		if request.connection == 1 {
			_ = socket.(*net.TCPConn).CloseWrite()
			close(halfClosed)
		}
		return true
	})
	pool := newPool(t, upstream.Options{})
	for _, id := range []string{"1", "2"} {
		if body, err := exchange(t, pool, e.target("e"), newRequest("POST", "/", id, "body")); err != nil || body != "body of "+id {
			t.Errorf("request %s: got body %q and error %v", id, body, err)
		}
		<-halfClosed
	}
	if requests, connections := e.seen(); len(requests) != 2 || connections != 2 {
		t.Errorf("the endpoint received %d requests on %d connections, want 2 on 2", len(requests), connections)
	}
}

// Endpoints may fill the receive buffers of idle connections, so their number must be bounded over all endpoints. Only a process' descriptors and
// the endpoints' own limits bounded it.
func TestPool_MoreIdleConnectionsThanAllowed_ClosesTheOldest(t *testing.T) {
	const maxIdle = 3
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{MaxIdle: maxIdle})
	ids := []string{"a", "b", "c", "d", "e"}
	for _, id := range ids {
		if _, err := exchange(t, pool, e.target(id), newRequest("GET", "/", id)); err != nil {
			t.Fatal(err)
		}
	}
	for i, id := range ids {
		want := 0
		if i >= len(ids)-maxIdle {
			want = 1
		}
		if _, idle := pool.Connections(id); idle != want {
			t.Errorf("endpoint %s has %d idle connections, want %d", id, idle, want)
		}
	}
	for range len(ids) - maxIdle {
		select {
		case <-e.closed:
		case <-time.After(5 * time.Second):
			t.Fatal("a connection that was evicted is still open")
		}
	}
	for _, id := range ids[2:] { // those that were kept are used again, and count no longer while they are in use
		if _, err := exchange(t, pool, e.target(id), newRequest("GET", "/", id+"-again")); err != nil {
			t.Fatal(err)
		}
	}
	if _, connections := e.seen(); connections != len(ids) {
		t.Errorf("%d connections were opened, want %d", connections, len(ids))
	}
}

// An idle connection on which the endpoint sends, or which it has closed, must be given up before its time is over. It was kept for as long as
// the endpoint had announced, with the bytes that had arrived.
func TestPool_EndpointSendsOnOrEndsIdleConnection_ItIsClosed(t *testing.T) {
	cases := map[string]func(socket net.Conn) bool{
		"sends": func(socket net.Conn) bool {
			_, _ = io.WriteString(socket, strings.Repeat("x", 10_000))
			return true
		},
		"closes": func(socket net.Conn) bool {
			_ = socket.(*net.TCPConn).CloseWrite()
			return true
		},
	}
	for name, misbehave := range cases {
		t.Run(name, func(t *testing.T) {
			idle := make(chan struct{})
			e := newEndpoint(t, func(socket net.Conn, request received) bool {
				respond(socket, request, "body", "Keep-Alive: timeout=600")
				<-idle
				return misbehave(socket)
			})
			pool := newPool(t, upstream.Options{})
			if _, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "id")); err != nil {
				t.Fatal(err)
			}
			if _, count := pool.Connections("e"); count != 1 {
				t.Fatalf("%d idle connections, want 1", count)
			}
			close(idle)
			select {
			case <-e.closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

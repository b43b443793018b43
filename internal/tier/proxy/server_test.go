package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// readinessStatus requests a path from the readiness server and returns the status.
func (f *fixture) readinessStatus(path string) int {
	f.t.Helper()
	response, err := http.Get("http://" + f.proxy.ReadinessAddress().String() + path)
	if err != nil {
		f.t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

func TestReadiness_EachState_HasItsStatus(t *testing.T) {
	f := newFixture(t)
	if got := f.readinessStatus("/mastusher/ready"); got != 200 {
		t.Errorf("ready: %d", got)
	}
	if got := f.readinessStatus("/other"); got != 404 {
		t.Errorf("another path: %d", got)
	}
	f.views.ready.Store(false)
	if got := f.readinessStatus("/mastusher/ready"); got != 503 {
		t.Errorf("not ready: %d", got)
	}
	f.views.ready.Store(true)
	f.proxy.Drain()
	if got := f.readinessStatus("/mastusher/ready"); got != 503 {
		t.Errorf("draining: %d", got)
	}
}

func TestShutdown_PendingRequests_End(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		if request.id() == "slow" {
			close(started)
			<-release
		}
		return respondWith(200, "body")(socket, request)
	})
	f := newFixture(t, e)
	idle, busy := f.dial(), f.dial()
	idle.request("GET", "/once/x", "first", "")
	idle.readResponse("GET")
	busy.request("GET", "/once/x", "slow", "")
	<-started

	f.proxy.Drain()
	late := f.dial()
	for name, c := range map[string]*client{"new": late, "existing": idle} {
		c.request("GET", "/once/x", "during", "")
		if got := c.readResponse("GET"); got.status != 200 || !got.close {
			t.Errorf("%s connection while draining: %+v", name, got)
		}
	}
	ended := f.startShutdown()
	select {
	case err := <-ended:
		t.Fatalf("the shutdown ended before a pending request: %v", err)
	default:
	}
	close(release)
	if got := busy.readResponse("GET"); got.status != 200 || got.body != "body" || got.err != nil {
		t.Errorf("the pending request: %+v", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	if _, err := io.ReadAll(busy.reader); err != nil {
		t.Errorf("after the last response: %v", err)
	}
}

func TestFrontend_OverMaxConnections_ClosesUnread(t *testing.T) {
	f := newFixtureWith(t, func(options *Options) { options.MaxClientConnections = 1 }, newEndpoint(t, respondWith(200, "body")))
	first := f.dial()
	first.request("GET", "/once/x", "1", "")
	first.readResponse("GET")
	second := f.dial()
	if !second.closedSilently() {
		t.Error("a connection over the limit was answered")
	}
	first.request("GET", "/once/x", "2", "")
	if got := first.readResponse("GET"); got.status != 200 {
		t.Errorf("within the limit: %+v", got)
	}
}

// awaitIdle waits until isIdle returns idle.
func (f *fixture) awaitIdle(idle bool) {
	for f.isIdle() != idle {
		runtime.Gosched()
	}
}

// isIdle reports whether no request has begun on the proxy's only connection.
func (f *fixture) isIdle() bool {
	f.proxy.frontend.mutex.Lock()
	defer f.proxy.frontend.mutex.Unlock()
	for client := range f.proxy.frontend.clients {
		client.mutex.Lock()
		defer client.mutex.Unlock()
		return client.idle
	}
	return true
}

// startShutdown starts to shut the proxy down, and returns once the proxy refuses connections.
func (f *fixture) startShutdown() <-chan error {
	ended := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		ended <- f.proxy.Shutdown(ctx)
	}()
	for {
		socket, err := net.Dial("tcp4", f.proxy.FrontAddress().String())
		if err != nil {
			return ended
		}
		socket.Close()
	}
}

func TestShutdown_HeadBeingRead_IsServed(t *testing.T) {
	// given a kept-alive connection on which half of the head of a request has been read
	f := newFixture(t, newEndpoint(t, respondWith(200, "body")))
	c := f.dial()
	c.request("GET", "/once/x", "first", "")
	c.readResponse("GET")
	f.awaitIdle(true)
	c.send("GET /once/x HTTP/1.1\r\nHost: a.exa")
	f.awaitIdle(false)
	// when the proxy is shut down and the rest arrives
	ended := f.startShutdown()
	c.send("mple\r\nX-Attempt-Id: second\r\n\r\n")
	// then the request is answered, and the connection is closed
	if got := c.readResponse("GET"); got.status != 200 || got.body != "body" || !got.close {
		t.Errorf("got %+v", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

func TestDrain_NextResponse_EndsItsConnection(t *testing.T) {
	cases := map[string]func(net.Conn, receivedRequest) bool{"an endpoint's response": respondWith(200, "body"), "an error response": respondNotRun}
	for name, script := range cases {
		t.Run(name, func(t *testing.T) {
			// given a pending request
			started, release := make(chan struct{}), make(chan struct{})
			f := newFixture(t, newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
				close(started)
				<-release
				return script(socket, request)
			}))
			c := f.dial()
			c.request("GET", "/once/x", "id", "")
			<-started
			// when the proxy begins to drain before the response begins
			f.proxy.Drain()
			close(release)
			// then the connection ends with the response
			if got := c.readResponse("GET"); !got.close {
				t.Errorf("got %+v", got)
			}
		})
	}
}

func TestShutdown_PipelinedRequest_IsServed(t *testing.T) {
	// given two requests that arrived together, the second of which is running
	started, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		if request.id() == "second" {
			close(started)
			<-release
		}
		return respondWith(200, "body")(socket, request)
	}))
	c := f.dial()
	head := "GET /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: "
	c.send(head + "first\r\n\r\n" + head + "second\r\n\r\n")
	c.readResponse("GET")
	<-started
	// when the proxy is shut down, and then the endpoint responds
	ended := f.startShutdown()
	close(release)
	// then the client gets the response
	if got := c.readResponse("GET"); got.status != 200 || got.body != "body" || got.err != nil {
		t.Errorf("got %+v", got)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

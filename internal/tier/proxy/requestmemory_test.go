package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/memorybudget"
)

// withMemory gives a proxy a budget of some bytes.
func withMemory(bytes int64) (*memorybudget.Budget, func(*Options)) {
	budget := memorybudget.New(bytes, memorybudget.ServerShares)
	return budget, func(options *Options) { options.Memory = budget }
}

// awaitReleased waits until the budget holds nothing but connections.
func awaitReleased(t *testing.T, budget *memorybudget.Budget) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		small, large, lines := budget.Counts(memorybudget.Small).Used, budget.Counts(memorybudget.Large).Used, budget.Counts(memorybudget.Lines).Used
		if small+large+lines == 0 {
			return
		}
		if time.Since(began) > 5*time.Second {
			t.Fatalf("still reserved: %d bytes small, %d large, %d lines", small, large, lines)
		}
	}
}

func TestBody_EachFraming_ServedAndMemoryGivenBack(t *testing.T) {
	budget, change := withMemory(16 << 20)
	e := newEndpoint(t, respondWith(200, "answer"))
	f := newFixtureWith(t, change, e)
	f.config.Limits.MaxBodyBytes = 4 << 20
	f.views.routes.Store(NewRoutes(f.config))
	for _, size := range []int{0, 1, 60 << 10, 64 << 10, 64<<10 + 1, 100 << 10, 3 << 20, 4 << 20} {
		body := strings.Repeat("x", size)
		chunked := "Transfer-Encoding: chunked\r\n\r\n"
		if size > 0 {
			chunked += fmt.Sprintf("%x\r\n%s\r\n", size, body)
		}
		for framing, rest := range map[string]string{
			"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body),
			"chunked": chunked + "0\r\n\r\n",
		} {
			c := f.dial()
			c.send("POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n" + rest)
			if got := c.readResponse("POST"); got.status != 200 || got.body != "answer" {
				t.Fatalf("%d bytes, %s: %+v", size, framing, got)
			}
			if request := <-e.requests; request.body != body {
				t.Errorf("%d bytes, %s: the endpoint got %d bytes", size, framing, len(request.body))
			}
			<-f.selector.outcomes
		}
	}
	awaitReleased(t, budget)
}

func TestBody_OneByteOverTheLimit_413(t *testing.T) {
	for _, limit := range []int64{1 << 10, 64 << 10, 1 << 20} {
		budget, change := withMemory(16 << 20)
		f := newFixtureWith(t, change, newEndpoint(t, respondWith(200, "answer")))
		f.config.Limits.MaxBodyBytes = limit
		f.views.routes.Store(NewRoutes(f.config))
		body := strings.Repeat("x", int(limit)+1)
		for framing, rest := range map[string]string{
			"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)),
			"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		} {
			c := f.dial()
			c.send("POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n" + rest)
			if got := c.readResponse("POST"); got.status != http.StatusRequestEntityTooLarge {
				t.Errorf("limit %d, %s: %+v", limit, framing, got)
			}
		}
		awaitReleased(t, budget)
	}
}

func TestBody_StopsShortWhileOthersWait_EndsWith408(t *testing.T) {
	budget, change := withMemory(8 << 20) // has room for one body of 2 MB
	e := newEndpoint(t, respondWith(200, "answer"))
	f := newFixtureWith(t, change, e)
	f.config.Limits.MaxBodyBytes = 2 << 20
	f.views.routes.Store(NewRoutes(f.config))
	body := strings.Repeat("x", 2<<20)
	head := fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\nX-Time-Left-Ms: 20000\r\nContent-Length: %d\r\n\r\n", len(body))
	stalled := f.dial()
	stalled.send(head + body[:len(body)-1])
	for budget.Counts(memorybudget.Large).Used == 0 {
		runtime.Gosched()
	}
	other := f.dial()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		_, _ = io.WriteString(other.socket, head+body)
	}()
	if got := other.readResponse("POST"); got.status != 200 {
		t.Errorf("the request that waits: %+v", got)
	}
	if got := stalled.readResponse("POST"); got.status != http.StatusRequestTimeout {
		t.Errorf("the request that stops short: %+v", got)
	}
	<-sent
	awaitReleased(t, budget)
}

func TestRequest_LargeBodiesWait_SmallOneServedAtOnce(t *testing.T) {
	_, change := withMemory(8 << 20)
	release := make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		if len(request.body) > memorybudget.SmallBytes {
			<-release
		}
		return respondWith(200, "answer")(socket, request)
	})
	f := newFixtureWith(t, change, e)
	f.config.Limits.MaxBodyBytes = 2 << 20
	f.views.routes.Store(NewRoutes(f.config))
	var large []*client
	for range 3 {
		c := f.dial()
		large = append(large, c)
		go fmt.Fprintf(c.socket, "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: large\r\nX-Time-Left-Ms: 20000\r\nContent-Length: %d\r\n\r\n%s",
			2<<20, strings.Repeat("x", 2<<20))
	}
	<-e.requests // one is at the endpoint, the others wait for memory
	small := f.dial()
	small.request("POST", "/safe/x", "small", "body")
	if got := small.readResponse("POST"); got.status != 200 {
		t.Errorf("small request: %+v", got)
	}
	close(release)
	for _, c := range large {
		if got := c.readResponse("POST"); got.status != 200 {
			t.Errorf("large request: %+v", got)
		}
	}
}

func TestCrowd_Gone_GoroutinesAndMemoryAreGivenBack(t *testing.T) {
	const clients = 100
	budget, change := withMemory(8 << 20)
	e := newEndpoint(t, respondWith(200, "answer"))
	f := newFixtureWith(t, change, e)
	before := runtime.NumGoroutine()
	var crowd []net.Conn
	for i := range clients {
		connection, err := net.Dial("tcp4", f.proxy.FrontAddress().String())
		if err != nil {
			t.Fatal(err)
		}
		crowd = append(crowd, connection)
		switch i % 3 {
		case 0:
			fmt.Fprintf(connection, "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Fill: %s\r\n", strings.Repeat("x", 6000))
		case 1:
			fmt.Fprintf(connection, "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a\r\nContent-Length: 1000000\r\n\r\n%s", strings.Repeat("x", 5000))
		}
	}
	for f.proxy.frontend.connections() == 0 {
		runtime.Gosched()
	}
	for _, connection := range crowd {
		connection.Close()
	}
	awaitReleased(t, budget)
	for began := time.Now(); runtime.NumGoroutine() > before+5 || budget.Counts(memorybudget.Connections).Used > 0; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d goroutines, %d before the crowd; %d bytes reserved for connections", runtime.NumGoroutine(), before,
				budget.Counts(memorybudget.Connections).Used)
		}
	}
}

func TestBody_InChunksWithoutAnyLimit_Served(t *testing.T) {
	e := newEndpoint(t, respondWith(200, "answer"))
	f := newFixture(t, e)
	f.config.Limits.MaxBodyBytes = 0
	f.views.routes.Store(NewRoutes(f.config))
	body := strings.Repeat("x", 3<<20)
	c := f.dial()
	c.send(fmt.Sprintf("POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body))
	if got := c.readResponse("POST"); got.status != 200 {
		t.Fatalf("%+v", got)
	}
	if request := <-e.requests; request.body != body {
		t.Errorf("the endpoint got %d bytes", len(request.body))
	}
}

// An attempt that ended for lack of the proxy's memory counted as a failure of its endpoint.
func TestStream_NoMemoryForOutput_IsNotTheEndpointsFailure(t *testing.T) {
	const limit = 1 << 20
	budget, change := withMemory(limit)
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one")))
		for {
			if _, err := io.WriteString(socket, chunk(event(2, strings.Repeat("x", 64<<10)))); err != nil {
				return false
			}
		}
	})
	f := newFixtureWith(t, change, e)
	c := f.dial()
	c.request("POST", "/turn/x", "id", "input", turnFields...)
	if got := c.readResponse("POST"); got.err == nil {
		t.Errorf("a response of %d bytes looks complete", len(got.body))
	}
	if outcome := <-f.selector.outcomes; outcome.Result != OutOfMemory {
		t.Errorf("outcome %+v, want OutOfMemory", outcome)
	}
	c.socket.Close()
	awaitReleased(t, budget)
}

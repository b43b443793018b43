package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"
)

func TestPlainRequest_IsForwardedUnchanged(t *testing.T) {
	e := newEndpoint(t, respondWith(200, "the body", "Content-Type: a/b", "Content-Encoding: zz", "X-Other: 1", "Connection: X-Hop", "X-Hop: 2"))
	fixture := newFixture(t, e)
	c := fixture.dial()
	target := "//safe/../safe/%2F;a=b//?x=%20&y;z??"
	config := *fixture.config
	config.Routes[0].PathPrefix = "/"
	fixture.views.routes.Store(NewRoutes(&config))
	c.request("POST", target, "id1", "input", "Connection: keep-alive, X-Mine", "X-Mine: 1", "Keep-Alive: 5", "Te: trailers",
		"X-Time-Left-Ms: 2000", "Priority: 9", "X-Expected-Server: other", "X-Subject: s", "Cookie: a=b; X-Subject=s1", "Accept: */*")
	got := c.readResponse("POST")
	if got.err != nil || got.status != 200 || got.body != "the body" {
		t.Fatalf("got %+v", got)
	}
	wantHeader := map[string][]string{"X-Attempt-Id": {"id1"}, "X-Server-Seal": {"seal-id1"}, "Content-Type": {"a/b"},
		"Content-Encoding": {"zz"}, "X-Other": {"1"}, "Content-Length": {"8"}}
	if diff := cmp.Diff(wantHeader, map[string][]string(got.header)); diff != "" {
		t.Errorf("header to the client (-want +got):\n%s", diff)
	}
	request := <-e.requests
	left := request.header.Get("X-Time-Left-Ms")
	var milliseconds int
	if _, _ = fmt.Sscan(left, &milliseconds); milliseconds <= 0 || milliseconds > 2000 {
		t.Errorf("got X-Time-Left-Ms %q", left)
	}
	delete(request.header, "X-Time-Left-Ms")
	wantRequest := map[string][]string{"Host": {"a.example"}, "X-Attempt-Id": {"id1"}, "Priority": {"3"}, "X-Subject": {"s"},
		"X-Expected-Server": {"e1"}, "Cookie": {"a=b; X-Subject=s1"}, "Accept": {"*/*"}, "Content-Length": {"5"}}
	if diff := cmp.Diff(wantRequest, map[string][]string(request.header)); diff != "" {
		t.Errorf("header to the endpoint (-want +got):\n%s", diff)
	}
	if request.requestLine != "POST "+target+" HTTP/1.1" || request.body != "input" {
		t.Errorf("the endpoint got %q with body %q", request.requestLine, request.body)
	}
	if outcome := <-fixture.selector.outcomes; outcome.Result != Succeeded || fixture.selector.infos[0].Subject != "s1" {
		t.Errorf("outcome %+v, info %+v", outcome, fixture.selector.infos[0])
	}
}

func TestErrorResponse_EachCondition_HasItsStatus(t *testing.T) {
	cases := []struct {
		name    string
		target  string
		prepare func(*fixture)
		status  int
	}{
		{"no route", "/none/x", func(*fixture) {}, 404},
		{"no configuration", "/safe/x", func(f *fixture) { f.views.routes.Store(nil) }, 503},
		{"no endpoint", "/safe/x", func(*fixture) {}, 503},
		{"no endpoint for a request that runs once", "/once/x", func(*fixture) {}, 503},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.prepare(f)
			c := f.dial()
			for range 2 {
				c.request("POST", test.target, "id", "body")
				got := c.readResponse("POST")
				if got.status != test.status || got.header.Get("X-Server-Seal") != "" {
					t.Errorf("got %+v", got)
				}
				if hasRetryAfter := got.header.Get("Retry-After") != ""; hasRetryAfter != (test.status == 503) {
					t.Errorf("got Retry-After %q", got.header.Get("Retry-After"))
				}
			}
		})
	}
}

func TestEndpointFaults_EachKindOfRoute_RetryOrError(t *testing.T) {
	good := respondWith(200, "good")
	cases := []struct {
		name   string
		route  string
		first  func(net.Conn, receivedRequest) bool
		status int
		sends  int64 // to the second endpoint
	}{
		{"full, safe", "safe", respondNotRun, 200, 1},
		{"full, once", "once", respondNotRun, 200, 1},
		{"misdirected, once", "once", respondMisdirected, 200, 1},
		{"reset, safe", "safe", resetConnection, 200, 1},
		{"reset, once", "once", resetConnection, 502, 0},
		{"reset, stream", "stream", resetConnection, 502, 0},
		{"reset, resumable", "resume", resetConnection, 200, 1},
		{"interrupted, safe", "safe", breakOffResponse, 200, 1},
		{"interrupted, once", "once", breakOffResponse, 502, 0},
		{"no seal, once", "once", respondWithoutSeal, 502, 0},
		{"no seal, safe", "safe", respondWithoutSeal, 200, 1},
		{"no id, once", "once", respondWithoutID, 502, 0},
		{"garbage, once", "once", respondGarbage, 502, 0},
		{"status 500, once", "once", respondWith(500, "failed"), 500, 0},
		{"status 500, safe", "safe", respondWith(500, "failed"), 200, 1},
		{"status 504, once", "once", respondWith(504, "late"), 504, 0},
		{"status 404, safe", "safe", respondWith(404, "not here"), 404, 0},
		{"503 without X-Not-Run, once", "once", respondWith(503, "hm"), 502, 0},
		{"429 without X-Not-Run, once", "once", respondWith(429, "hm"), 502, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bad, second := newEndpoint(t, test.first), newEndpoint(t, good)
			f := newFixture(t, bad, second)
			c := f.dial()
			c.request("POST", "/"+test.route+"/x", "id", "body")
			got := c.readResponse("POST")
			if got.status != test.status || got.err != nil {
				t.Errorf("got %+v", got)
			}
			if bad.count.Load() != 1 || second.count.Load() != test.sends {
				t.Errorf("%d sends to the first endpoint and %d to the second", bad.count.Load(), second.count.Load())
			}
			if seal := got.header.Get("X-Server-Seal"); (seal != "") != (got.status != 502) {
				t.Errorf("seal %q with status %d", seal, got.status)
			}
		})
	}
}

func TestRequest_AllAttemptsFail_StopsAtMaxAttempts(t *testing.T) {
	endpoints := []*endpoint{newEndpoint(t, resetConnection), newEndpoint(t, resetConnection), newEndpoint(t, resetConnection)}
	f := newFixture(t, endpoints...)
	c := f.dial()
	c.request("GET", "/safe/x", "id", "")
	if got := c.readResponse("GET"); got.status != 502 {
		t.Errorf("got %+v", got)
	}
	if endpoints[0].count.Load() != 1 || endpoints[1].count.Load() != 1 || endpoints[2].count.Load() != 0 {
		t.Error("the request was not sent to the first two endpoints only")
	}
}

func TestRequest_AllEndpointsReject_IsRejected(t *testing.T) {
	first, second := newEndpoint(t, respondNotRun), newEndpoint(t, respondNotRun)
	f := newFixture(t, first, second)
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	got := c.readResponse("POST")
	if got.status != 503 || got.header.Get("Retry-After") != "0.25" || got.header.Get("X-Server-Seal") != "" {
		t.Errorf("got %+v", got)
	}
}

func TestRequest_EndpointUnreachable_GoesToNext(t *testing.T) {
	good := newEndpoint(t, respondWith(200, "good"))
	dead := newEndpoint(t, nil)
	dead.listener.Close()
	f := newFixture(t, dead, good)
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	if got := c.readResponse("POST"); got.status != 200 || got.body != "good" {
		t.Errorf("got %+v", got)
	}
}

func TestLargeBodies_AreForwarded(t *testing.T) {
	megabyte := strings.Repeat("0123456789abcdef", 1<<16)
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		return respondWith(200, request.body)(socket, request)
	})
	f := newFixture(t, e)
	c := f.dial()
	for i := range 3 {
		c.request("POST", "/once/x", fmt.Sprint("id", i), megabyte)
		if got := c.readResponse("POST"); got.status != 200 || got.body != megabyte {
			t.Errorf("status %d with %d bytes, %v", got.status, len(got.body), got.err)
		}
	}
}

func TestConnect_Hangs_EndsAtSelectionsTimeout(t *testing.T) {
	full := newFullListener(t)
	good := newEndpoint(t, respondWith(200, "good"))
	f := newFixture(t, good)
	f.selector.endpoints = []Selection{{ID: "hung", Address: full, Timeout: 30 * time.Millisecond}, f.selector.endpoints[0]}
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	if got := c.readResponse("POST"); got.status != 200 {
		t.Errorf("got %+v", got)
	}
	if outcome := <-f.selector.outcomes; outcome.Result != NeverSent {
		t.Errorf("outcome %+v", outcome)
	}
}

// newFullListener returns the address of a listener whose accept queue is full.
func newFullListener(t *testing.T) string {
	t.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(descriptor) })
	if err = unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err = unix.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprint("127.0.0.1:", name.(*unix.SockaddrInet4).Port)
	for {
		socket, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { socket.Close() })
	}
}

func TestDeadline_BeforeSend_SaysNothingOfEndpoint(t *testing.T) {
	// given a connection that is never established, and a request whose deadline is before the connect timeout
	f := newFixture(t)
	f.selector.endpoints = []Selection{{ID: "hung", Address: newFullListener(t)}}
	c := f.dial()
	c.request("POST", "/once/x", "id", "body", "X-Time-Left-Ms: 20")
	// then the client learns that the request has not run, and the result does not count against the endpoint
	if got := c.readResponse("POST"); got.status != 503 {
		t.Errorf("got %+v", got)
	}
	if outcome := <-f.selector.outcomes; outcome.Result != Cancelled {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestRequest_EveryMethodAndPath_IsForwarded(t *testing.T) {
	e := newEndpoint(t, respondWith(200, "body"))
	f := newFixture(t, e)
	c := f.dial()
	for _, method := range []string{"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE", "PURGE", "PROPFIND", "REPORT"} {
		for _, target := range []string{"/safe/", "/safe/x", "/safe/:id", "/safe/*", "/safe/a%2Fb", "/safe//", "/safe/../safe/?q", "/safe/%C3%A9", "/safe/;a=b"} {
			c.request(method, target, "id", "")
			if got := c.readResponse(method); got.status != 200 {
				t.Errorf("%s %s: %+v", method, target, got)
			}
			if request := <-e.requests; request.requestLine != method+" "+target+" HTTP/1.1" {
				t.Errorf("%s %s was forwarded as %q", method, target, request.requestLine)
			}
			<-f.selector.outcomes
		}
	}
}

func TestAbsoluteTarget_KeepsItsPath(t *testing.T) {
	e := newEndpoint(t, respondWith(200, "body"))
	f := newFixture(t, e)
	c := f.dial()
	for _, target := range []string{"/safe/x?y=1", "/safe/a%2fb//c?", "/safe/;a='b'|c"} {
		c.request("GET", "http://a.example"+target, "id", "")
		if got := c.readResponse("GET"); got.status != 200 {
			t.Errorf("%s: %+v", target, got)
		}
		if request := <-e.requests; request.requestLine != "GET "+target+" HTTP/1.1" {
			t.Errorf("%s was forwarded as %q", target, request.requestLine)
		}
	}
}

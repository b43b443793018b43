package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/upstream"
)

func TestDo_Request_IsWrittenByteForByte(t *testing.T) {
	targets := []string{"/", "//", "//a//b", "/a%2Fb", "/a;b=c;d", "/a?", "/a?x=1&y=%20;z", "/a?b?c", "/%61/../b/./c", "/a|b\"<>",
		"//host/path?q#f", "/%zz", "/caf\xc3\xa9"}
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{})
	for i, target := range targets {
		id := fmt.Sprint("id-", i)
		if _, err := exchange(t, pool, e.target("e"), newRequest("GET", target, id)); err != nil {
			t.Fatalf("request target %q: %v", target, err)
		}
		requests, _ := e.seen()
		want := []string{"GET " + target + " HTTP/1.1", "Host: service.example", "X-Attempt-Id: " + id}
		if diff := cmp.Diff(want, headLines(requests[i].raw)); diff != "" {
			t.Errorf("head of the request for %q (-want +got):\n%s", target, diff)
		}
	}
}

func TestDo_Body_KeepsItsLength(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<16)
	cases := []struct {
		name string
		body []string
		want string
	}{
		{"empty", []string{""}, ""},
		{"one part", []string{"input"}, "input"},
		{"two parts", []string{"chain ", "input"}, "chain input"},
		{"a megabyte", []string{large, "tail"}, large + "tail"},
	}
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{})
	for i, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if _, err := exchange(t, pool, e.target("e"), newRequest("POST", "/x", fmt.Sprint(i), test.body...)); err != nil {
				t.Fatal(err)
			}
			requests, _ := e.seen()
			got := requests[len(requests)-1]
			if got.header.Get("Content-Length") != fmt.Sprint(len(test.want)) || string(got.body) != test.want {
				t.Errorf("the endpoint received Content-Length %s and a body of %d bytes, want %d with the same content", got.header.Get("Content-Length"), len(got.body), len(test.want))
			}
		})
	}
}

func TestDo_AnyFailure_SendsRequestOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT", "HEAD", "OPTIONS"} {
		t.Run(method, func(t *testing.T) {
			e := newEndpoint(t, func(socket net.Conn, request received) bool {
				if request.header.Get("X-Attempt-Id") == "1" {
					_, _ = io.WriteString(socket, "HTTP/1.1 204 No Content\r\nX-Attempt-Id: 1\r\nKeep-Alive: timeout=30\r\n\r\n")
					return true
				}
				reset(socket)
				return false
			})
			pool := newPool(t, upstream.Options{})
			if _, err := exchange(t, pool, e.target("e"), newRequest(method, "/", "1")); err != nil {
				t.Fatal(err)
			}
			_, err := exchange(t, pool, e.target("e"), newRequest(method, "/", "2"))
			expectError(t, err, upstream.MayHaveRun, upstream.ReadFailed)
			if requests, connections := e.seen(); len(requests) != 2 || connections != 1 {
				t.Errorf("the endpoint received %d requests on %d connections, want 2 on 1", len(requests), connections)
			}
		})
	}
}

func TestDo_InformationalResponses_AreSkipped(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		_, _ = io.WriteString(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return respondKeepAlive(socket, request)
	})
	pool := newPool(t, upstream.Options{})
	request := newRequest("POST", "/", "1", "body")
	request.Fields = upstream.AppendField(request.Fields, "Expect", "100-continue")
	body, err := exchange(t, pool, e.target("e"), request)
	if requests, _ := e.seen(); err != nil || body != "body of 1" || len(requests) != 1 {
		t.Errorf("got body %q, error %v and %d requests, want \"body of 1\", no error and 1", body, err, len(requests))
	}
}

func TestDo_ForeignResponse_IsNeverReturned(t *testing.T) {
	t.Run("the request's own response follows", func(t *testing.T) {
		endpoint := newEndpoint(t, func(socket net.Conn, request received) bool {
			if request.header.Get("X-Attempt-Id") == "2" {
				late := received{header: map[string][]string{"X-Attempt-Id": {"1"}}}
				respond(socket, late, "late", "X-Server-Seal: s")
			}
			return respondKeepAlive(socket, request)
		})
		pool := newPool(t, upstream.Options{})
		for i, want := range []string{"body of 1", "body of 2", "body of 3"} {
			body, err := exchange(t, pool, endpoint.target("e"), newRequest("GET", "/", fmt.Sprint(i+1)))
			if err != nil || body != want {
				t.Errorf("got body %q and error %v, want %q", body, err, want)
			}
		}
		if requests, connections := endpoint.seen(); len(requests) != 3 || connections != 2 {
			t.Errorf("the endpoint received %d requests on %d connections, want 3 on 2", len(requests), connections)
		}
	})
	t.Run("no other response follows", func(t *testing.T) {
		endpoint := newEndpoint(t, func(socket net.Conn, _ received) bool {
			respond(socket, received{header: map[string][]string{"X-Attempt-Id": {"other"}}}, "late", "Connection: close")
			return false
		})
		pool := newPool(t, upstream.Options{})
		_, err := exchange(t, pool, endpoint.target("e"), newRequest("GET", "/", "1"))
		expectError(t, err, upstream.MayHaveRun, upstream.ForeignResponse)
	})
	t.Run("no id on a reused connection", func(t *testing.T) {
		endpoint := newEndpoint(t, func(socket net.Conn, request received) bool {
			if request.header.Get("X-Attempt-Id") == "1" {
				return respondKeepAlive(socket, request)
			}
			_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return false
		})
		pool := newPool(t, upstream.Options{})
		_, _ = exchange(t, pool, endpoint.target("e"), newRequest("GET", "/", "1"))
		_, err := exchange(t, pool, endpoint.target("e"), newRequest("GET", "/", "2"))
		expectError(t, err, upstream.MayHaveRun, upstream.ForeignResponse)
	})
}

func TestDo_Errors_TellWhetherRequestWasSent(t *testing.T) {
	pool := newPool(t, upstream.Options{ConnectTimeout: 200 * time.Millisecond})
	t.Run("the endpoint isn't listening", func(t *testing.T) {
		listener, _ := net.Listen("tcp4", "127.0.0.1:0")
		address := listener.Addr().String()
		listener.Close()
		_, err := exchange(t, pool, upstream.Endpoint{ID: "gone", Address: address}, newRequest("GET", "/", "1"))
		expectError(t, err, upstream.NeverSent, upstream.ConnectFailed)
	})
	t.Run("the context has ended before the request", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := pool.Do(ctx, upstream.Endpoint{ID: "x", Address: "127.0.0.1:1"}, newRequest("GET", "/", "1"))
		expectError(t, err, upstream.NeverSent, upstream.Cancelled)
	})
	t.Run("the context ends while the endpoint processes the request", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := newEndpoint(t, func(net.Conn, received) bool { cancel(); return true })
		_, err := pool.Do(ctx, e.target("e"), newRequest("GET", "/", "1"))
		expectError(t, err, upstream.MayHaveRun, upstream.Cancelled)
		<-e.closed
	})
	t.Run("the head of the response exceeds the maximum", func(t *testing.T) {
		e := newEndpoint(t, func(socket net.Conn, _ received) bool {
			_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nX: "+strings.Repeat("a", 100<<10))
			return true
		})
		_, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "1"))
		expectError(t, err, upstream.MayHaveRun, upstream.ReadFailed)
	})
	t.Run("the response isn't HTTP", func(t *testing.T) {
		e := newEndpoint(t, func(socket net.Conn, _ received) bool {
			_, _ = io.WriteString(socket, "\x00\x01 no answer\r\n\r\n")
			return true
		})
		_, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "1"))
		expectError(t, err, upstream.MayHaveRun, upstream.ReadFailed)
	})
	for _, target := range []string{"", "/a b", "/a\r\nX: y"} {
		_, err := exchange(t, pool, upstream.Endpoint{ID: "x", Address: "127.0.0.1:1"}, newRequest("GET", target, "1"))
		expectError(t, err, upstream.NeverSent, upstream.InvalidRequest)
	}
}

func TestDo_EarlyResponseToLongRequest_IsReturned(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	finished := make(chan struct{})
	go func() {
		socket, acceptErr := listener.Accept()
		if acceptErr != nil {
			return
		}
		defer socket.Close()
		_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		<-finished
	}()
	pool := newPool(t, upstream.Options{})
	request := newRequest("POST", "/", "1", strings.Repeat("x", 64<<20))
	response, err := pool.Do(t.Context(), upstream.Endpoint{ID: "e", Address: listener.Addr().String()}, request)
	if err != nil || response.Status != 503 {
		t.Fatalf("got response %v and error %v, want status 503", response, err)
	}
	response.Close()
	close(finished)
	if inUse, idle := pool.Connections("e"); inUse != 0 || idle != 0 {
		t.Errorf("%d connections are in use and %d idle, want none", inUse, idle)
	}
}

// expectError checks that an error is an *upstream.Error of a kind and a reason.
func expectError(t *testing.T, err error, kind upstream.Kind, reason upstream.Reason) {
	t.Helper()
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.Kind != kind || failure.Reason != reason {
		t.Errorf("got error %v, want %s (%s)", err, reason, kind)
	}
}

// cancellingPermit is a Permit that cancels the request's context when it is checked, which is right before the request is written.
type cancellingPermit struct{ cancel context.CancelFunc }

func (p cancellingPermit) Granted() bool {
	p.cancel()
	return true
}

func TestDo_ContextEndsWhileConnecting_SendsNothing(t *testing.T) {
	e := newEndpoint(t, respondKeepAlive)
	pool := newPool(t, upstream.Options{})
	for _, reused := range []bool{false, true} {
		if reused {
			if _, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "first")); err != nil {
				t.Fatal(err)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		target := e.target("e")
		target.Permit = cancellingPermit{cancel}
		_, err := pool.Do(ctx, target, newRequest("GET", "/", "left"))
		expectError(t, err, upstream.NeverSent, upstream.Cancelled)
		<-e.closed
	}
	if requests, _ := e.seen(); len(requests) != 1 {
		t.Errorf("the endpoint received %d requests, want only the one that wasn't cancelled", len(requests))
	}
}

func TestDo_LateBodyAfterHead_IsNoResponse(t *testing.T) {
	// The late response to a HEAD request has a Content-Length and no body: skipping a body would skip the request's own response. The
	// late response to a GET request has a body: if a HEAD request is pending and the body isn't skipped, it is parsed as a response.
	for name, methods := range map[string][2]string{"late response to a HEAD request": {"HEAD", "GET"}, "late response to a GET request": {"GET", "HEAD"}} {
		t.Run(name, func(t *testing.T) {
			inner := "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\nContent-Length: 0\r\n\r\n"
			late := "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n"
			e := newEndpoint(t, func(socket net.Conn, request received) bool {
				if request.header.Get("X-Attempt-Id") == "2" {
					_, _ = io.WriteString(socket, late+inner+inner)
					return true
				}
				_, _ = io.WriteString(socket, "HTTP/1.1 204 No Content\r\nX-Attempt-Id: 1\r\nKeep-Alive: timeout=30\r\n\r\n")
				return true
			})
			pool := newPool(t, upstream.Options{})
			if _, err := exchange(t, pool, e.target("e"), newRequest(methods[0], "/", "1")); err != nil {
				t.Fatal(err)
			}
			_, err := exchange(t, pool, e.target("e"), newRequest(methods[1], "/", "2"))
			expectError(t, err, upstream.MayHaveRun, upstream.ForeignResponse)
		})
	}
}

func TestDo_ResponseWithSeveralIDs_IsForeign(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		respond(socket, request, "x", "X-Attempt-Id: other", "Connection: close")
		return false
	})
	pool := newPool(t, upstream.Options{})
	_, err := exchange(t, pool, e.target("e"), newRequest("GET", "/", "1"))
	expectError(t, err, upstream.MayHaveRun, upstream.ForeignResponse)
}

func TestDo_RequestWithoutID_GetsOwnConnection(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request received) bool {
		if request.header.Get("X-Attempt-Id") == "" {
			_, _ = io.WriteString(socket, "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return respondKeepAlive(socket, request)
	})
	for _, maxConnections := range []int{0, 1} {
		pool := newPool(t, upstream.Options{})
		target := e.target("e")
		target.MaxConnections = maxConnections
		withoutID := &upstream.Request{Method: "GET", Target: "/", Host: "service.example"}
		for _, request := range []*upstream.Request{newRequest("GET", "/", "1"), withoutID, newRequest("GET", "/", "2"), withoutID} {
			if _, err := exchange(t, pool, target, request); err != nil {
				t.Fatalf("with MaxConnections %d: %v", maxConnections, err)
			}
		}
	}
	var used []int
	requests, _ := e.seen()
	for _, request := range requests {
		used = append(used, request.connection)
	}
	if diff := cmp.Diff([]int{1, 2, 1, 3, 4, 5, 6, 7}, used); diff != "" {
		t.Errorf("connections of the requests (-want +got):\n%s", diff)
	}
}

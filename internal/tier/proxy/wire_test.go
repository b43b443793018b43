package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
)

// echoBody responds with the request's own body.
func echoBody(socket net.Conn, request receivedRequest) bool {
	return respondWith(200, request.body)(socket, request)
}

func TestPipelinedRequests_AreAnsweredInOrder(t *testing.T) {
	f := newFixture(t, newEndpoint(t, echoBody))
	c := f.dial()
	text := ""
	for i := range 5 {
		text += fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id%d\r\nContent-Length: 2\r\n\r\nb%d", i, i)
	}
	c.send(text)
	for i := range 5 {
		got := c.readResponse("POST")
		if got.status != 200 || got.body != fmt.Sprint("b", i) || got.header.Get("X-Attempt-Id") != fmt.Sprint("id", i) {
			t.Errorf("response %d: %+v", i, got)
		}
	}
}

func TestChunkedBody_IsForwardedWithLength(t *testing.T) {
	e := newEndpoint(t, echoBody)
	f := newFixture(t, e)
	c := f.dial()
	c.request("POST", "/once/x", "id", "", "Transfer-Encoding: chunked")
	for _, part := range []string{"one ", "two ", "three"} {
		c.send(chunk(part))
	}
	c.send(lastChunk)
	if got := c.readResponse("POST"); got.body != "one two three" {
		t.Errorf("got %+v", got)
	}
	request := <-e.requests
	if request.header.Get("Content-Length") != "13" || request.header.Get("Transfer-Encoding") != "" {
		t.Errorf("the endpoint got %v", request.header)
	}
	c.request("GET", "/once/x", "id2", "")
	if got := c.readResponse("GET"); got.status != 200 {
		t.Errorf("next request on the connection: %+v", got)
	}
}

func TestExpectContinue_IsAnsweredBeforeBody(t *testing.T) {
	e := newEndpoint(t, echoBody)
	f := newFixture(t, e)
	c := f.dial()
	c.request("POST", "/once/x", "id", "", "Expect: 100-continue", "Content-Length: 4")
	statusLine, err := c.reader.ReadString('\n')
	if err != nil || statusLine != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got status line %q, %v", statusLine, err)
	}
	_, _ = c.reader.ReadString('\n')
	c.send("body")
	if got := c.readResponse("POST"); got.status != 200 || got.body != "body" {
		t.Errorf("got %+v", got)
	}
	if request := <-e.requests; request.header.Get("Expect") != "" {
		t.Errorf("the endpoint got %v", request.header)
	}
}

func TestAmbiguousRequests_AreRejected(t *testing.T) {
	inner := "GET /once/smuggled HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: evil\r\n\r\n"
	cases := []struct {
		name string
		head string
		body string
		runs []string // bodies that the endpoint may run
	}{
		{"two lengths", "Content-Length: 4\r\nContent-Length: 5\r\n", "abcd" + inner, nil},
		{"an invalid length", "Content-Length: +4\r\n", "abcd", nil},
		{"two codings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", lastChunk, nil},
		{"an unknown coding", "Transfer-Encoding: xchunked\r\n", lastChunk, nil},
		{"a length and a chunked body", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", chunk(inner) + lastChunk, []string{inner}},
		{"a space before the colon", "Content-Length : 4\r\n", "abcd", nil},
		{"a folded line", "X-Fold: a\r\n Content-Length: 4\r\n", "", nil},
		{"a bare line feed in a value", "X: a\nb\r\n", "", nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, echoBody)
			f := newFixture(t, e)
			c := f.dial()
			c.send("POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\nConnection: close\r\n" + test.head + "\r\n" + test.body)
			_, _ = io.Copy(io.Discard, c.reader)
			var runs []string
			for range e.count.Load() {
				request := <-e.requests
				if strings.Contains(request.requestLine, "smuggled") {
					t.Error("a request inside the body was run")
				}
				runs = append(runs, request.body)
			}
			if test.runs != nil || test.name != "a folded line" {
				if diff := cmp.Diff(test.runs, runs); diff != "" {
					t.Errorf("runs (-want +got):\n%s", diff)
				}
			}
		})
	}
}

func TestHTTP10Client_ResponseBreaksOff_SeesReset(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one")))
		return false
	})
	f := newFixture(t, e)
	c := f.dial()
	c.send("GET /stream/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: id\r\n\r\n")
	if got := c.readResponse("GET"); got.err == nil {
		t.Errorf("the response looks complete: %+v", got)
	}
}

func TestCloseDelimitedResponse_EndsWithConnection(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(net.Conn) {},
		"reset":  func(socket net.Conn) { _ = socket.(*net.TCPConn).SetLinger(0) },
	} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
				_, _ = io.WriteString(socket, sealedHead(200, request)+"some bytes")
				<-read
				end(socket)
				return false
			})
			f := newFixture(t, e)
			c := f.dial()
			c.request("GET", "/once/x", "id", "")
			response := c.readHead("GET")
			_, _ = io.ReadFull(response.Body, make([]byte, len("some bytes")))
			close(read)
			_, err := io.ReadAll(response.Body)
			if (err == nil) != (name == "closed") {
				t.Errorf("the response ended with %v", err)
			}
		})
	}
}

func TestRequestBody_Incomplete_IsNeverSent(t *testing.T) {
	for name, part := range map[string]string{
		"length": "Content-Length: 10\r\n\r\nabc",
		"chunks": "Transfer-Encoding: chunked\r\n\r\na\r\nabc",
		"broken": "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, echoBody)
			f := newFixture(t, e)
			c := f.dial()
			c.send("POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n" + part)
			_ = c.socket.(*net.TCPConn).CloseWrite()
			if !c.closedSilently() || e.count.Load() != 0 {
				t.Error("an incomplete request was answered or sent")
			}
		})
	}
	t.Run("slow", func(t *testing.T) {
		e := newEndpoint(t, echoBody)
		f := newFixture(t, e)
		c := f.dial()
		c.request("POST", "/once/x", "id", "", "Content-Length: 10", "X-Time-Left-Ms: 50")
		if !c.closedSilently() || e.count.Load() != 0 {
			t.Error("an incomplete request was answered or sent")
		}
	})
}

func TestClientLimits_FollowConfiguration(t *testing.T) {
	fixture := newFixture(t, newEndpoint(t, echoBody))
	setLimits := func(limits model.Limits) {
		config := *fixture.config
		config.Limits = limits
		fixture.views.routes.Store(NewRoutes(&config))
	}
	status := func(c *client, headerBytes, bodyBytes int) int {
		c.request("POST", "/once/x", "id", strings.Repeat("b", bodyBytes), "X-Long: "+strings.Repeat("h", headerBytes))
		return c.readResponse("POST").status
	}
	wide := model.Limits{MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 5000, IdleTimeoutMs: 5000}
	narrow := model.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1000, HeaderTimeoutMs: 5000, IdleTimeoutMs: 5000}
	setLimits(wide)
	old := fixture.dial()
	if got := status(old, 30<<10, 2000); got != 200 {
		t.Errorf("within wide limits: %d", got)
	}
	setLimits(narrow)
	if got := status(fixture.dial(), 9<<10, 10); got != 431 {
		t.Errorf("header over the narrow limit: %d", got)
	}
	if got := status(fixture.dial(), 7<<10, 10); got != 200 {
		t.Errorf("header within the narrow limit: %d", got)
	}
	if got := status(fixture.dial(), 10, 1001); got != 413 {
		t.Errorf("body over the narrow limit: %d", got)
	}
	if got := status(old, 30<<10, 1000); got != 200 {
		t.Errorf("header on a connection opened before the change: %d", got)
	}
	old.socket.Close()
	setLimits(wide)
	if got := status(fixture.dial(), 30<<10, 2000); got != 200 {
		t.Errorf("within wide limits again: %d", got)
	}
}

func TestClientLimits_SlowAndIdleClients_AreClosed(t *testing.T) {
	f := newFixture(t, newEndpoint(t, echoBody))
	config := *f.config
	config.Limits = model.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1000, HeaderTimeoutMs: 60, IdleTimeoutMs: 60}
	f.views.routes.Store(NewRoutes(&config))
	slow := f.dial()
	slow.send("GET /once/x HTTP/1.1\r\nHost:")
	if !slow.closedSilently() {
		t.Error("an incomplete header was answered")
	}
	idle := f.dial()
	idle.request("GET", "/once/x", "id", "")
	if got := idle.readResponse("GET"); got.status != 200 {
		t.Errorf("got %+v", got)
	}
	if !idle.closedSilently() {
		t.Error("an idle connection was not closed")
	}
}

func TestClient_ReadsNothing_DoesNotOccupyEndpoint(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead))
		for {
			if _, err := io.WriteString(socket, chunk(event(1, strings.Repeat("x", 64<<10)))); err != nil {
				return false
			}
		}
	})
	f := newFixture(t, e)
	c := f.dial()
	c.request("GET", "/stream/x", "id", "", "X-Time-Left-Ms: 100")
	<-e.closed
	if outcome := <-f.selector.outcomes; outcome.Result != DeadlineExceeded && outcome.Result != ClientClosed {
		t.Errorf("outcome %+v", outcome)
	}
}

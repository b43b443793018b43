package proxy

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

func TestChunkedResponse_BreaksOff_IsRetried(t *testing.T) {
	broken := func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Transfer-Encoding: chunked")+chunk("the first part"))
		return false
	}
	long := strings.Repeat("0123456789abcdef", 1<<14)
	for name, body := range map[string]string{"short": "whole", "long": long} {
		t.Run(name, func(t *testing.T) {
			complete := func(socket net.Conn, request receivedRequest) bool {
				_, _ = io.WriteString(socket, sealedHead(200, request, "Transfer-Encoding: chunked")+chunk(body)+lastChunk)
				return true
			}
			bad, good := newEndpoint(t, broken), newEndpoint(t, complete)
			f := newFixture(t, bad, good)
			c := f.dial()
			c.request("GET", "/safe/x", "id", "")
			if got := c.readResponse("GET"); got.err != nil || got.status != 200 || got.body != body {
				t.Errorf("status %d with %d bytes, %v", got.status, len(got.body), got.err)
			}
		})
	}
}

func TestLateResponse_IsNeverGivenToNextRequest(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		if request.id() == "id2" {
			late := receivedRequest{header: map[string][]string{"X-Attempt-Id": {"id1"}}}
			respondWith(200, "late")(socket, late)
		}
		return respondWith(200, "own "+request.id())(socket, request)
	})
	f := newFixture(t, e)
	c := f.dial()
	for _, id := range []string{"id1", "id2", "id3"} {
		c.request("GET", "/once/x", id, "")
		if got := c.readResponse("GET"); got.status != 200 || got.body != "own "+id || got.header.Get("X-Attempt-Id") != id {
			t.Errorf("%s got %+v", id, got)
		}
	}
}

func TestLongResponse_BreaksOff_LooksIncomplete(t *testing.T) {
	for name, framing := range map[string]string{"length": "Content-Length: 100000", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
				_, _ = io.WriteString(socket, sealedHead(200, request, framing)+"a\r\n0123456789\r\n")
				return false
			})
			f := newFixture(t, e)
			c := f.dial()
			c.request("GET", "/once/x", "id", "")
			if got := c.readResponse("GET"); got.err == nil || got.status != 200 {
				t.Errorf("got %+v", got)
			}
		})
	}
}

func TestHeadRequest_HasNoBody(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Length: 4711"))
		return true
	})
	f := newFixture(t, e)
	c := f.dial()
	for i := range 2 {
		c.request("HEAD", "/safe/x", fmt.Sprint("id", i), "")
		got := c.readResponse("HEAD")
		if got.status != 200 || got.header.Get("Content-Length") != "4711" || got.body != "" {
			t.Errorf("got %+v", got)
		}
		if request := <-e.requests; request.connection != 1 {
			t.Errorf("sent on connection %d, want 1", request.connection)
		}
	}
}

func TestNotRunResponse_BodyMissing_DelaysNothing(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+request.id()+"\r\nX-Not-Run: full\r\nContent-Length: 10\r\n\r\n")
		_, err := socket.Read(make([]byte, 1))
		return err == nil
	})
	f := newFixture(t, e, newEndpoint(t, respondWith(200, "good")))
	c := f.dial()
	c.request("POST", "/once/x", "id", "body", "X-Time-Left-Ms: 3000")
	if got := c.readResponse("POST"); got.status != 200 || got.body != "good" {
		t.Errorf("got %+v", got)
	}
}

func TestNotRunResponse_ConnectionIsKept(t *testing.T) {
	rejections := 0
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		if rejections++; rejections > 1 {
			return respondWith(200, "good")(socket, request)
		}
		_, _ = io.WriteString(socket, "HTTP/1.1 503 Full\r\nX-Attempt-Id: "+request.id()+"\r\nX-Not-Run: full\r\nKeep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\nfull")
		return true
	})
	f := newFixture(t, e)
	c := f.dial()
	for _, want := range []int{503, 200} {
		c.request("POST", "/once/x", "id", "body")
		if got := c.readResponse("POST"); got.status != want {
			t.Errorf("got %+v", got)
		}
		if request := <-e.requests; request.connection != 1 {
			t.Errorf("sent on connection %d, want 1", request.connection)
		}
	}
}

func TestNotRunResponse_BodyBreaksOff_IsNoSuccess(t *testing.T) {
	// given an interrupted response that says that the request was not run
	broken := func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(400, request, "X-Not-Run: 1", "Content-Length: 10")+"12345")
		return false
	}
	for route, want := range map[string]int{"safe": 200, "once": 502} {
		t.Run(route, func(t *testing.T) {
			second := newEndpoint(t, respondWith(200, "good"))
			f := newFixture(t, newEndpoint(t, broken), second)
			c := f.dial()
			c.request("GET", "/"+route+"/x", "id", "")
			// then the client never gets an empty successful response
			got := c.readResponse("GET")
			if got.status != want || want == 200 && got.body != "good" {
				t.Errorf("got %+v", got)
			}
		})
	}
}

func TestCloseDelimitedResponse_Reset_IsRetried(t *testing.T) {
	bad := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request)+"the first part")
		return resetConnection(socket, request)
	})
	good := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request)+"whole")
		return false
	})
	f := newFixture(t, bad, good)
	c := f.dial()
	c.request("GET", "/safe/x", "id", "")
	if got := c.readResponse("GET"); got.err != nil || got.status != 200 || got.body != "whole" {
		t.Errorf("got %+v", got)
	}
	c.request("GET", "/safe/x", "next", "")
	if got := c.readResponse("GET"); got.status != 200 {
		t.Errorf("the next response on the client's connection: %+v", got)
	}
}

func TestCloseDelimitedResponse_IsForwardedFramed(t *testing.T) {
	// given a close-delimited response
	end := make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request)+"some bytes")
		<-end
		return false
	})
	f := newFixture(t, e)
	c := f.dial()
	c.request("GET", "/once/x", "id", "")
	response := c.readHead("GET")
	// then the response is forwarded in chunks, so that it cannot look complete if this process ends in the middle of it
	if len(response.TransferEncoding) != 1 || response.TransferEncoding[0] != "chunked" || response.Close {
		t.Errorf("Transfer-Encoding %v, close %v", response.TransferEncoding, response.Close)
	}
	close(end)
	if body, err := io.ReadAll(response.Body); err != nil || string(body) != "some bytes" {
		t.Errorf("got body %q, %v", body, err)
	}
}

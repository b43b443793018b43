package proxy

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

func TestStream_Event_IsForwardedBeforeNextExists(t *testing.T) {
	next := make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead))
		for i := range 3 {
			_, _ = io.WriteString(socket, chunk(event(i, "data")))
			<-next
		}
		_, _ = io.WriteString(socket, lastChunk)
		return true
	})
	f := newFixture(t, e)
	c := f.dial()
	c.request("GET", "/stream/x", "id", "")
	response := c.readHead("GET")
	for i := range 3 {
		got := make([]byte, len(event(i, "data")))
		if _, err := io.ReadFull(response.Body, got); err != nil || string(got) != event(i, "data") {
			t.Fatalf("event %d: %q, %v", i, got, err)
		}
		next <- struct{}{}
	}
	if rest, err := io.ReadAll(response.Body); err != nil || len(rest) != 0 {
		t.Errorf("rest %q, %v", rest, err)
	}
}

func TestStream_BreaksOff_LooksIncomplete(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one"))+chunk("id: 2\ndata: tw"))
		return false
	})
	other := newEndpoint(t, stream(event(1, "one")))
	f := newFixture(t, e, other)
	c := f.dial()
	c.request("GET", "/stream/x", "id", "")
	if got := c.readResponse("GET"); got.err == nil || got.body != event(1, "one") || other.count.Load() != 0 {
		t.Errorf("got %+v", got)
	}
	if outcome := <-f.selector.outcomes; outcome.Result != IncompleteResponse || outcome.Events != 1 || outcome.Tokens != 3 {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestStream_BreaksOff_ResumesAtAnotherEndpoint(t *testing.T) {
	first := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead, "X-First: 1")+chunk(event(1, "one"))+chunk(event(2, "two")+"id: 3\ndata: th"))
		return false
	})
	second := newEndpoint(t, stream(event(3, "three"), event(4, "four")))
	f := newFixture(t, first, second)
	c := f.dial()
	c.request("GET", "/resume/x", "id", "", "Last-Event-Id: 0")
	got := c.readResponse("GET")
	want := event(1, "one") + event(2, "two") + event(3, "three") + event(4, "four")
	if got.err != nil || got.body != want || got.header.Get("X-First") != "1" {
		t.Errorf("got %+v", got)
	}
	if id := (<-first.requests).header.Get("Last-Event-Id"); id != "0" {
		t.Errorf("the first endpoint got Last-Event-Id %q", id)
	}
	if id := (<-second.requests).header.Get("Last-Event-Id"); id != "2" {
		t.Errorf("the second endpoint got Last-Event-Id %q", id)
	}
}

func TestStream_BreaksOffBeforeFirstEvent_IsRetried(t *testing.T) {
	first := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk("id: 1\nda"))
		return false
	})
	second := newEndpoint(t, stream(event(1, "one")))
	f := newFixture(t, first, second)
	c := f.dial()
	c.request("GET", "/resume/x", "id", "")
	if got := c.readResponse("GET"); got.err != nil || got.body != event(1, "one") {
		t.Errorf("got %+v", got)
	}
	if request := <-second.requests; request.header.Get("Last-Event-Id") != "" {
		t.Errorf("the second endpoint got Last-Event-Id %q", request.header.Get("Last-Event-Id"))
	}
}

func TestStream_ClientCloses_ResetsEndpoint(t *testing.T) {
	started := make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one")))
		close(started)
		_, err := socket.Read(make([]byte, 1))
		return err == nil
	})
	f := newFixture(t, e)
	c := f.dial()
	c.request("GET", "/stream/x", "id", "", "Budget: 100", "Program: p")
	<-started
	c.readHead("GET")
	c.socket.Close()
	<-e.closed
	if outcome := <-f.selector.outcomes; outcome.Result != ClientClosed {
		t.Errorf("outcome %+v", outcome)
	}
	if end := <-f.programs.ended; end.Tokens != 3 || end.Complete {
		t.Errorf("committed with %+v", end)
	}
}

func TestStream_NoEvents_EndsAtDeadline(t *testing.T) {
	for _, route := range []string{"once", "safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			e := newEndpoint(t, func(socket net.Conn, _ receivedRequest) bool {
				_, err := socket.Read(make([]byte, 1))
				return err == nil
			})
			f := newFixture(t, e)
			c := f.dial()
			c.request("GET", "/"+route+"/x", "id", "", "X-Time-Left-Ms: 100")
			if got := c.readResponse("GET"); got.status != 504 {
				t.Errorf("got %+v", got)
			}
			if outcome := <-f.selector.outcomes; outcome.Result != DeadlineExceeded {
				t.Errorf("outcome %+v", outcome)
			}
		})
	}
}

func TestStream_Resumed_HasNoDuplicateEvent(t *testing.T) {
	// given an interrupted stream, and another endpoint that starts it from the beginning
	first := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(9, "nine"))+chunk(event(10, "ten")))
		return false
	})
	second := newEndpoint(t, stream(event(9, "nine"), event(10, "ten"), event(11, "eleven")))
	f := newFixture(t, first, second)
	c := f.dial()
	// when the stream is resumed there
	c.request("GET", "/resume/x", "id", "")
	// then the client sees the stream interrupted after the events that it has received
	if got := c.readResponse("GET"); got.err == nil || got.body != event(9, "nine")+event(10, "ten") {
		t.Errorf("got %+v", got)
	}
}

func TestStream_ClosedInsideEvent_LooksIncomplete(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Type: text/event-stream", "Connection: close")+event(1, "one")+"id: 2\nda")
		return false
	})
	f := newFixture(t, e)
	c := f.dial()
	c.request("GET", "/stream/x", "id", "")
	if got := c.readResponse("GET"); got.err == nil {
		t.Errorf("the response looks complete: %+v", got)
	}
	if outcome := <-f.selector.outcomes; outcome.Result != IncompleteResponse || outcome.Events != 1 {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestStream_EndlessEvent_IsNotBuffered(t *testing.T) {
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one")))
		for {
			if _, err := io.WriteString(socket, chunk(strings.Repeat("x", 64<<10))); err != nil {
				return false
			}
		}
	})
	f := newFixture(t, e)
	c := f.dial()
	c.request("GET", "/stream/x", "id", "")
	if got := c.readResponse("GET"); got.err == nil || got.body != event(1, "one") {
		t.Errorf("got %d bytes, %v", len(got.body), got.err)
	}
	if outcome := <-f.selector.outcomes; outcome.Result != IncompleteResponse {
		t.Errorf("outcome %+v", outcome)
	}
}

func TestAttempt_TimeoutFired_ForwardsNothing(t *testing.T) {
	// given an attempt whose timeout fires while the first bytes arrive
	c := &clientRequest{context: t.Context(), request: httptest.NewRequest("GET", "/", nil)}
	a := &attempt{selection: Selection{Timeout: time.Nanosecond}}
	c.startTimeout(a)
	<-a.context.Done()
	// when its response would start to be forwarded, then the attempt is abandoned as timed out
	if a.stopTimeout() || c.incompleteResult(a) != TimedOut {
		t.Errorf("the timeout was stopped, or the result is %v, want TimedOut", c.incompleteResult(a))
	}
	// given an attempt whose timeout is stopped in time, then nothing cancels the attempt afterwards
	a = &attempt{selection: Selection{Timeout: time.Hour}}
	c.startTimeout(a)
	if first, second := a.stopTimeout(), a.stopTimeout(); !first || !second || a.context.Err() != nil {
		t.Errorf("the attempt was cancelled: %v", context.Cause(a.context))
	}
}

func TestTranscript_EventsOfAttemptNotForwarded_AreNotInIt(t *testing.T) {
	// given an attempt of which the first event was forwarded, and the others were not
	var sent transcript
	parser := newEventParser(&sent, true)
	forwarded := parser.feed([]byte(event(1, "one") + "id: 2\nda"))
	sent.add(&forwarded)
	parser.feed([]byte("ta: two\n\n" + event(3, "three") + "id: 4"))
	// then the transcript ends with the first event, and another attempt goes on from there
	if sent.count != 1 || sent.lastID != "1" || string(sent.output) != "one\n" {
		t.Errorf("%d events up to %q, output %q", sent.count, sent.lastID, sent.output)
	}
	parser = newEventParser(&sent, true)
	next := parser.feed([]byte(event(2, "two")))
	sent.add(&next)
	if string(next.bytes) != event(2, "two") || string(sent.output) != "one\ntwo\n" {
		t.Errorf("forwarded %q, output %q", next.bytes, sent.output)
	}
}

func TestStream_CloseDelimitedReset_Resumes(t *testing.T) {
	read := make(chan struct{})
	first := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Type: text/event-stream", "X-First: 1")+event(1, "one")+"id: 2\nda")
		<-read
		return resetConnection(socket, request)
	})
	second := newEndpoint(t, stream(event(2, "two")))
	f := newFixture(t, first, second)
	c := f.dial()
	c.request("GET", "/resume/x", "id", "")
	response := c.readHead("GET")
	got := make([]byte, len(event(1, "one")))
	_, _ = io.ReadFull(response.Body, got)
	close(read)
	rest, err := io.ReadAll(response.Body)
	if body := string(got) + string(rest); err != nil || body != event(1, "one")+event(2, "two") || response.Header.Get("X-First") != "1" {
		t.Errorf("got body %q, %v", body, err)
	}
}

func TestStream_EventsWithoutIDs_IsNotResumed(t *testing.T) {
	unnumbered := "data: none\n\n"
	cases := map[string]struct {
		first, second []string
		want          string
	}{
		"interrupted after an event without an id": {
			[]string{event(1, "one"), unnumbered}, []string{unnumbered, event(2, "two")}, event(1, "one") + unnumbered},
		"resumed with an event without an id": {
			[]string{event(1, "one")}, []string{unnumbered, event(2, "two")}, event(1, "one")},
		"resumed with a duplicate event without a closing blank line": {
			[]string{event(1, "one")}, []string{"id: 1\ndata: one"}, event(1, "one")},
		"resumed after comments and fields": {
			[]string{event(1, "one"), ": c\n\n"}, []string{": d\n\n", "versions: 4\nid: 2\ndata: two\n\n"},
			event(1, "one") + ": c\n\n: d\n\nversions: 4\nid: 2\ndata: two\n\n"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			first := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
				text := sealedHead(200, request, streamHead)
				for _, one := range test.first {
					text += chunk(one)
				}
				_, _ = io.WriteString(socket, text)
				return false
			})
			f := newFixture(t, first, newEndpoint(t, stream(test.second...)))
			c := f.dial()
			c.request("GET", "/resume/x", "id", "")
			got := c.readResponse("GET")
			if interrupted := got.err != nil; got.body != test.want || interrupted == strings.HasSuffix(name, "fields") {
				t.Errorf("got %q, %v", got.body, got.err)
			}
		})
	}
}

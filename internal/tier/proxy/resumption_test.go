package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/program"
)

// writePause separates the writes of an endpoint, so that the proxy reads them one by one.
const writePause = 2 * time.Millisecond

// writeEach writes parts one by one.
func writeEach(socket net.Conn, parts ...string) {
	for _, part := range parts {
		_, _ = io.WriteString(socket, part)
		time.Sleep(writePause)
	}
}

// truncatedStream responds with events in chunks and closes the connection after the last of them.
func truncatedStream(events ...string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		writeChunks(socket, request, events)
		return false
	}
}

// writeChunks writes a head, and events each in a chunk and a write of its own.
func writeChunks(socket net.Conn, request receivedRequest, events []string) {
	_, _ = io.WriteString(socket, sealedHead(200, request, streamHead))
	for _, one := range events {
		writeEach(socket, chunk(one))
	}
}

// measuredStream responds with events, one by one, behind their Content-Length.
func measuredStream(events ...string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Type: text/event-stream", withLength(strings.Join(events, ""))))
		writeEach(socket, events...)
		return true
	}
}

// unframedStream responds with events, one by one, whose end is that of the connection.
func unframedStream(events ...string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Type: text/event-stream"))
		writeEach(socket, events...)
		return false
	}
}

// chunkedStream responds with events, each in a chunk and a write of its own.
func chunkedStream(events ...string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		writeChunks(socket, request, events)
		_, _ = io.WriteString(socket, lastChunk)
		return true
	}
}

// The end of a resumed stream was judged by the Content-Length of its last part: the last byte of each event of that part was withheld,
// and all of them came after the stream.
func TestResumedStream_EachFramingOfTheRest_ForwardedAsSent(t *testing.T) {
	before := []string{event(1, "one"), event(2, "two")}
	rest := []string{event(3, "three"), event(4, "four"), event(5, "five")}
	want := strings.Join(append(before, rest...), "")
	framings := map[string]func(net.Conn, receivedRequest) bool{
		"chunks":          chunkedStream(rest...),
		"length":          measuredStream(rest...),
		"close-delimited": unframedStream(rest...),
		"one write with a length": respondWith(200, strings.Join(rest, ""),
			"Content-Type: text/event-stream"),
	}
	for name, script := range framings {
		for _, route := range []string{"resume", "resume-turn"} {
			t.Run(route+"/"+name, func(t *testing.T) {
				f := newFixture(t, newEndpoint(t, truncatedStream(before...)), newEndpoint(t, script))
				c := f.dial()
				c.request("POST", "/"+route+"/x", "id", "input", turnFields...)
				if got := c.readResponse("POST"); got.err != nil || got.body != want {
					t.Errorf("got %q, %v", got.body, got.err)
				}
				wantEnd := program.EndTurn{Turn: "id", Complete: true, Tokens: 15}
				if route == "resume-turn" {
					wantEnd.Output = []byte("one\ntwo\nthree\nfour\nfive\n")
				}
				if diff := cmp.Diff(wantEnd, <-f.programs.ended); diff != "" {
					t.Errorf("end (-want +got):\n%s", diff)
				}
				first, second := <-f.selector.outcomes, <-f.selector.outcomes
				if first.Result != IncompleteResponse || first.Events != 2 || second.Result != Succeeded || second.Events != 3 || second.Tokens != 9 {
					t.Errorf("outcomes %+v, %+v", first, second)
				}
			})
		}
	}
}

// A stream that was being resumed was given up when the part with a Content-Length was cut, though its client had been sent no length.
func TestResumedStream_RestWithLengthIsCut_ResumesOnceMore(t *testing.T) {
	truncatedRest := func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, "Content-Type: text/event-stream", "Content-Length: 1000"))
		writeEach(socket, event(2, "two"), "id: 3\ndata: th")
		return false
	}
	f := newFixture(t, newEndpoint(t, truncatedStream(event(1, "one"))), newEndpoint(t, truncatedRest),
		newEndpoint(t, measuredStream(event(3, "three"), event(4, "four"))))
	c := f.dial()
	c.request("POST", "/resume-turn/x", "id", "input", turnFields...)
	want := event(1, "one") + event(2, "two") + event(3, "three") + event(4, "four")
	if got := c.readResponse("POST"); got.err != nil || got.body != want {
		t.Errorf("got %q, %v", got.body, got.err)
	}
	wantEnd := program.EndTurn{Turn: "id", Complete: true, Tokens: 12, Output: []byte("one\ntwo\nthree\nfour\n")}
	if diff := cmp.Diff(wantEnd, <-f.programs.ended); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
}

// The id of an event must not become a head of half a megabyte at the next endpoint, and a stream whose last event has such an id can't be
// resumed without a gap.
func TestResumedStream_LastIDIsTooLong_NotResumed(t *testing.T) {
	long := "id: " + strings.Repeat("i", 500<<10) + "\ndata: x\n\n"
	first, second := newEndpoint(t, truncatedStream(event(1, "one"), long)), newEndpoint(t, chunkedStream(event(2, "two")))
	f := newFixture(t, first, second)
	c := f.dial()
	c.send("GET /resume/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: id\r\n\r\n")
	if got := c.readResponse("GET"); got.err == nil {
		t.Errorf("the stream looks complete: %d bytes", len(got.body))
	}
	if outcome := <-f.selector.outcomes; outcome.Result != IncompleteResponse {
		t.Errorf("outcome %+v, want IncompleteResponse", outcome)
	}
	if len(second.requests) != 0 {
		t.Error("the stream was resumed")
	}
}

// The rest of a stream was forwarded in another encoding than the client had been told: bytes that its head doesn't describe.
func TestResumedStream_RestIsEncodedOtherwise_NotJoined(t *testing.T) {
	encoded := respondWith(200, "\x1f\x8b\x08 not events", "Content-Type: text/event-stream", "Content-Encoding: gzip")
	f := newFixture(t, newEndpoint(t, truncatedStream(event(1, "one"))), newEndpoint(t, encoded), newEndpoint(t, measuredStream(event(2, "two"))))
	c := f.dial()
	c.request("POST", "/resume-turn/x", "id", "input", turnFields...)
	if got := c.readResponse("POST"); got.err != nil || got.body != event(1, "one")+event(2, "two") {
		t.Errorf("got %q, %v", got.body, got.err)
	}
	wantEnd := program.EndTurn{Turn: "id", Complete: true, Tokens: 6, Output: []byte("one\ntwo\n")}
	if diff := cmp.Diff(wantEnd, <-f.programs.ended); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
}

// The load balancer expected an attempt that resumes a stream to generate all tokens of the request.
func TestResumedStream_NextAttempt_GeneratesTheRest(t *testing.T) {
	f := newFixture(t, newEndpoint(t, truncatedStream(event(1, "one"), event(2, "two"))), newEndpoint(t, chunkedStream(event(3, "three"))))
	c := f.dial()
	c.request("POST", "/resume/x", "id", "input", turnFields...)
	if got := c.readResponse("POST"); got.err != nil {
		t.Fatal(got.err)
	}
	for attempt, want := range []int{135, 135 - 6} {
		if got := balancerRequest(&f.selector.infos[attempt]).OutputTokens; got != want {
			t.Errorf("attempt %d is to generate %d tokens, want %d", attempt, got, want)
		}
	}
}

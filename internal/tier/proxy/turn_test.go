package proxy

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/program"
)

var turnFields = []string{"Program: p1", "Session: s1", "Finish-Ms: 5200", "Budget: 1080", "X-Token-Counts: 1840,135", "Previous: before"}

// maxTurnTimeMs is the time that the longest request of these tests has.
const maxTurnTimeMs = 30_000

func TestTurn_Complete_GetsChainAndIsCommitted(t *testing.T) {
	e := newEndpoint(t, stream(event(1, "one"), "id: 2\ndata: two\ndata: lines\n\n", ": nothing\n\n", event(3, "three")))
	f := newFixture(t, e)
	f.programs.begin = func(program.BeginTurn) (program.Result, error) {
		return program.Result{Verdict: program.Accepted, Chain: []byte("old input|old output\n")}, nil
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "new input", turnFields...)
	got := c.readResponse("POST")
	want := event(1, "one") + "id: 2\ndata: two\ndata: lines\n\n" + ": nothing\n\n" + event(3, "three")
	if got.err != nil || got.status != 200 || got.body != want || got.header.Get("X-Server-Seal") != "seal-id" {
		t.Errorf("got %+v", got)
	}
	if request := <-e.requests; request.body != "old input|old output\nnew input" || request.header.Get("Content-Length") != "30" {
		t.Errorf("the endpoint got %q", request.body)
	}
	wantBegin := []program.BeginTurn{{Turn: "id", Program: "p1", Budget: 1080, MaxTokens: 135, Remembered: true, Previous: "before",
		KeepForS: 60, Input: []byte("new input")}}
	if left := f.programs.begins[0].TimeLeftMs; left <= 0 || left > maxTurnTimeMs {
		t.Errorf("the turn may end within %d ms", left)
	}
	f.programs.begins[0].TimeLeftMs = 0
	if diff := cmp.Diff(wantBegin, f.programs.begins); diff != "" {
		t.Errorf("begin (-want +got):\n%s", diff)
	}
	wantEnd := program.EndTurn{Turn: "id", Complete: true, Tokens: 9, Output: []byte("one\ntwo\nlines\nthree\n")}
	if diff := cmp.Diff(wantEnd, <-f.programs.ended); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"p1"}, f.programs.shardKeys); diff != "" {
		t.Errorf("shard keys (-want +got):\n%s", diff)
	}
}

func TestTurn_EachVerdict_HasItsStatus(t *testing.T) {
	cases := []struct {
		name   string
		result program.Result
		err    error
		status int
	}{
		{"budget exhausted", program.Result{Verdict: program.BudgetExceeded}, nil, 402},
		{"no such turn", program.Result{Verdict: program.TurnNotFound}, nil, 404},
		{"program stores full", program.Result{Verdict: program.StorageFull}, nil, 503},
		{"no answer from the program stores", program.Result{}, errors.New("no owner"), 503},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			e := newEndpoint(t, stream(event(1, "one")))
			f := newFixture(t, e)
			f.programs.begin = func(program.BeginTurn) (program.Result, error) { return test.result, test.err }
			c := f.dial()
			c.request("POST", "/turn/x", "id", "input", turnFields...)
			if got := c.readResponse("POST"); got.status != test.status || got.header.Get("X-Server-Seal") != "" {
				t.Errorf("got %+v", got)
			}
			if e.count.Load() != 0 {
				t.Error("the turn was sent")
			}
		})
	}
}

func TestTurn_LastByte_WaitsForCommit(t *testing.T) {
	framings := map[string]func(net.Conn, receivedRequest) bool{
		"chunks": stream(event(1, "one"), event(2, "two")),
		"length": respondWith(200, event(1, "one")+event(2, "two"), "Content-Type: text/event-stream"),
	}
	for name, script := range framings {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newEndpoint(t, script))
			endCalled, release := make(chan struct{}), make(chan struct{})
			f.programs.end = func(program.EndTurn) error {
				close(endCalled)
				<-release
				return nil
			}
			c := f.dial()
			c.request("POST", "/turn/x", "id", "input", turnFields...)
			response := c.readHead("POST")
			complete := event(1, "one") + event(2, "two")
			if _, err := io.ReadFull(response.Body, make([]byte, len(complete)-1)); err != nil {
				t.Fatal(err)
			}
			<-endCalled
			ended := make(chan error, 1)
			go func() {
				_, err := io.ReadAll(response.Body)
				ended <- err
			}()
			select {
			case err := <-ended:
				t.Fatalf("the response ended before the turn was committed: %v", err)
			default:
			}
			close(release)
			if err := <-ended; err != nil {
				t.Errorf("the response ended with %v", err)
			}
		})
	}
}

func TestTurn_CommitFails_ResponseBreaksOff(t *testing.T) {
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
	var rejected atomic.Bool
	rejected.Store(true)
	f.programs.end = func(program.EndTurn) error {
		if rejected.Load() {
			return errors.New("no owner")
		}
		return nil
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "input", append(turnFields, "X-Time-Left-Ms: 150")...)
	if got := c.readResponse("POST"); got.err == nil {
		t.Errorf("the response looks complete: %+v", got)
	}
	rejected.Store(false)
	if end := <-f.programs.ended; end.Tokens != 3 {
		t.Errorf("committed with %+v", end)
	}
}

func TestTurn_Incomplete_IsCommittedAsIncomplete(t *testing.T) {
	broken := func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, sealedHead(200, request, streamHead)+chunk(event(1, "one"))+chunk("id: 2\nda"))
		return false
	}
	cases := []struct {
		name   string
		script func(net.Conn, receivedRequest) bool
		tokens int64
	}{
		{"rejected", respondNotRun, 0},
		{"reset", resetConnection, 0},
		{"interrupted inside the second event", broken, 3},
		{"failed", respondWith(500, "failed"), 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, newEndpoint(t, test.script))
			c := f.dial()
			c.request("POST", "/turn/x", "id", "input", turnFields...)
			c.readResponse("POST")
			want := program.EndTurn{Turn: "id", Tokens: test.tokens}
			if diff := cmp.Diff(want, <-f.programs.ended); diff != "" {
				t.Errorf("end (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTurn_BudgetOnly_IsCommittedBesideResponse(t *testing.T) {
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"), event(2, "two"))))
	release := make(chan struct{})
	f.programs.end = func(program.EndTurn) error { <-release; return nil }
	c := f.dial()
	c.request("POST", "/stream/x", "id", "input", "Program: p", "Budget: 10", "X-Token-Counts: 5,6")
	if got := c.readResponse("POST"); got.err != nil || got.status != 200 {
		t.Errorf("got %+v", got)
	}
	close(release)
	if diff := cmp.Diff(program.EndTurn{Turn: "id", Complete: true, Tokens: 6}, <-f.programs.ended); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
}

func TestStream_WithoutBudget_IsNoTurn(t *testing.T) {
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
	c := f.dial()
	c.request("POST", "/stream/x", "id", "input")
	if got := c.readResponse("POST"); got.status != 200 || len(f.programs.begins) != 0 {
		t.Errorf("got %+v with %d turns", got, len(f.programs.begins))
	}
}

func TestTurn_CompleteButUnknown_BreaksOffAtOnce(t *testing.T) {
	// given program stores that have lost a turn
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
	var attempts atomic.Int64
	f.programs.isUnknown = func(end program.EndTurn) bool {
		if end.Complete {
			attempts.Add(1)
		}
		return true
	}
	// when its response is complete, long before the deadline
	c := f.dial()
	sent := time.Now()
	c.request("POST", "/turn/x", "id", "input", append(turnFields, "X-Time-Left-Ms: 9000")...)
	got := c.readResponse("POST")
	// then the client sees an interrupted response, well before the deadline
	if got.err == nil || attempts.Load() != 1 {
		t.Errorf("got %+v after %d commit attempts", got, attempts.Load())
	}
	if elapsed := time.Since(sent); elapsed > 4*time.Second {
		t.Errorf("the response was interrupted after %v", elapsed)
	}
}

func TestTurn_CompleteWithoutEvents_Counts(t *testing.T) {
	for name, script := range map[string]func(net.Conn, receivedRequest) bool{"Content-Length 0": respondWith(200, ""), "only the final chunk": stream()} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newEndpoint(t, script))
			c := f.dial()
			c.request("POST", "/turn/x", "id", "input", turnFields...)
			if got := c.readResponse("POST"); got.err != nil || got.status != 200 {
				t.Errorf("got %+v", got)
			}
			if diff := cmp.Diff(program.EndTurn{Turn: "id", Complete: true}, <-f.programs.ended); diff != "" {
				t.Errorf("end (-want +got):\n%s", diff)
			}
		})
	}
}

func TestUsageCommitter_UnknownTurn_RetriesForAWhile(t *testing.T) {
	cases := []struct {
		name      string
		knownAt   int // the attempt from which on the program stores know the turn
		complete  bool
		attempts  int
		committed bool
	}{
		{"given an incomplete turn when its Begin arrives late then the commit is accepted", 4, false, 4, true},
		{"given an incomplete turn when its Begin never arrives then the commit is abandoned", 1000, false, maxUnknownTurnAttempts, false},
		{"given a complete turn when the program stores do not know it then the commit is abandoned at once", 2, true, 1, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts := 0
				stores := &fakePrograms{ended: make(chan program.EndTurn, 1), isUnknown: func(program.EndTurn) bool {
					attempts++
					return attempts < test.knownAt
				}}
				err := commitTurn(t.Context(), stores, "key", program.EndTurn{Turn: "id", Complete: test.complete})
				if attempts != test.attempts || (err == nil) != test.committed {
					t.Errorf("%d attempts, %v", attempts, err)
				}
			})
		})
	}
}

package proxy

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/program"
)

// sendThenAwaitClose sends a part of a response and then waits until the connection is closed.
func sendThenAwaitClose(started chan<- struct{}, fragment func(receivedRequest) string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, fragment(request))
		started <- struct{}{}
		_, _ = socket.Read(make([]byte, 1))
		return false
	}
}

// disconnectWait is longer than it takes to detect that a client has closed its connection.
const disconnectWait = 10 * time.Second

func TestClient_Closes_EndsAllWorkForIt(t *testing.T) {
	nothing := func(receivedRequest) string { return "" }
	head := func(request receivedRequest) string { return sealedHead(200, request, streamHead) }
	events := func(request receivedRequest) string {
		return head(request) + chunk(event(1, "one")) + chunk("id: 2\nda")
	}
	half := func(request receivedRequest) string {
		return sealedHead(200, request, "Content-Length: 100000") + "half"
	}
	cases := []struct {
		name     string
		route    string
		fragment func(receivedRequest) string
	}{
		{"given a request that may run again when no response has arrived", "safe", nothing},
		{"given a request that may run again when half a response has arrived", "safe", half},
		{"given a request that runs once when no response has arrived", "once", nothing},
		{"given a request that runs once when half a response has arrived", "once", half},
		{"given a stream when no response has arrived", "stream", nothing},
		{"given a stream when its first event hasn't arrived", "stream", head},
		{"given a stream when its second event has arrived in part", "stream", events},
		{"given a stream that may be resumed when its first event hasn't arrived", "resume", head},
		{"given a stream that may be resumed when its second event has arrived in part", "resume", events},
		{"given a turn when its first event hasn't arrived", "turn", head},
		{"given a turn when its second event has arrived in part", "turn", events},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// given an endpoint that runs a request, and another one that could run it
			started := make(chan struct{}, 1)
			first, second := newEndpoint(t, sendThenAwaitClose(started, test.fragment)), newEndpoint(t, respondWith(200, "good"))
			f := newFixture(t, first, second)
			f.setRouteTimeout(10 * disconnectWait.Milliseconds())
			c := f.dial()
			c.request("POST", "/"+test.route+"/x", "id", "body", turnFields...)
			<-started
			// when the client closes its connection
			c.socket.Close()
			// then the endpoint's connection is closed, long before the request's deadline, and the request is not retried
			select {
			case <-first.closed:
			case <-time.After(disconnectWait):
				t.Fatal("the endpoint's connection was not closed")
			}
			if outcome := <-f.selector.outcomes; outcome.Result != ClientClosed {
				t.Errorf("outcome %+v", outcome)
			}
			f.stop()
			if first.count.Load() != 1 || second.count.Load() != 0 {
				t.Errorf("%d sends to the first endpoint and %d to the second, want 1 and 0", first.count.Load(), second.count.Load())
			}
		})
	}
}

func TestQueuedRequest_ClientCloses_LeavesQueue(t *testing.T) {
	// given an endpoint at capacity, and a queued request
	loadBalancer, inFlight := newSaturatedBalancer(t)
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer })
	config := configurationWithLatencyTarget(100_000)
	f.views.routes.Store(NewRoutes(config))
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	awaitQueued(loadBalancer, 1)
	// when its client closes, then the request leaves the queue and is not selected when capacity is free
	c.socket.Close()
	awaitQueued(loadBalancer, 0)
	loadBalancer.Done(inFlight, Outcome{Result: Succeeded})
	f.stop()
	loadBalancer.mutex.Lock()
	defer loadBalancer.mutex.Unlock()
	if left := loadBalancer.queueFor("plain").Len(); left != 0 {
		t.Errorf("%d requests left in the queue", left)
	}
}

func TestQueuedRequest_SelectedAsClientCloses_GivesSelectionBack(t *testing.T) {
	// given a request that is selected at the moment at which its client closes
	loadBalancer, inFlight := newSaturatedBalancer(t)
	loadBalancer.mutex.Lock()
	id, w, rejection := loadBalancer.enqueue(newRequestInfo(0))
	loadBalancer.mutex.Unlock()
	if rejection != nil {
		t.Fatal(rejection)
	}
	loadBalancer.Done(inFlight, Outcome{Result: Succeeded})
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_ = loadBalancer.leaveQueue(cancelled, id, w)
	// then the next request gets the capacity
	if _, err := loadBalancer.Select(t.Context(), newRequestInfo(0)); err != nil {
		t.Errorf("the capacity was not released: %v", err)
	}
}

func TestTurn_ClientClosesDuringBegin_IsNotSent(t *testing.T) {
	// given program stores that begin a turn just after its client has closed
	e := newEndpoint(t, stream(event(1, "one")))
	f := newFixture(t, e)
	beginCalled := make(chan struct{})
	f.programs.beforeBegin = func(ctx context.Context) {
		close(beginCalled)
		<-ctx.Done()
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "body", turnFields...)
	<-beginCalled
	// when the client closes, then the turn is not sent, and its reservation is released
	c.socket.Close()
	if diff := cmp.Diff(program.EndTurn{Turn: "id"}, <-f.programs.ended); diff != "" {
		t.Errorf("end (-want +got):\n%s", diff)
	}
	f.stop()
	if e.count.Load() != 0 {
		t.Error("the turn was sent")
	}
}

func TestTurn_ClientClosesBeforeLastByte_IsCommitted(t *testing.T) {
	// given a complete response whose last byte is withheld until its turn is committed
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
	endCalled, release := make(chan struct{}, 2), make(chan struct{})
	f.programs.end = func(program.EndTurn) error {
		endCalled <- struct{}{}
		<-release
		return nil
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "body", turnFields...)
	<-endCalled
	// when the client closes and the program stores answer, then the tokens of the turn count
	c.socket.Close()
	close(release)
	if end := <-f.programs.ended; end.Turn != "id" || end.Tokens != 3 {
		t.Errorf("committed with %+v", end)
	}
}

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

// sendThenAwaitClose answers with a part and then works until its caller goes.
func sendThenAwaitClose(started chan<- struct{}, fragment func(receivedRequest) string) func(net.Conn, receivedRequest) bool {
	return func(socket net.Conn, request receivedRequest) bool {
		_, _ = io.WriteString(socket, fragment(request))
		started <- struct{}{}
		_, _ = socket.Read(make([]byte, 1))
		return false
	}
}

// disconnectWait is more than it takes until a client's leaving is noticed.
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
		{"given a request that may run again when no answer has come", "safe", nothing},
		{"given a request that may run again when half an answer has come", "safe", half},
		{"given a request that runs once when no answer has come", "once", nothing},
		{"given a request that runs once when half an answer has come", "once", half},
		{"given a stream when no answer has come", "stream", nothing},
		{"given a stream when its first event hasn't come", "stream", head},
		{"given a stream when its second event is on its way", "stream", events},
		{"given a stream that may be resumed when its first event hasn't come", "resume", head},
		{"given a stream that may be resumed when its second event is on its way", "resume", events},
		{"given a turn when its first event hasn't come", "turn", head},
		{"given a turn when its second event is on its way", "turn", events},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// given an endpoint at work, and another one that could take the request
			started := make(chan struct{}, 1)
			first, second := newEndpoint(t, sendThenAwaitClose(started, test.fragment)), newEndpoint(t, respondWith(200, "good"))
			f := newFixture(t, first, second)
			f.setRouteTimeout(10 * disconnectWait.Milliseconds())
			c := f.dial()
			c.request("POST", "/"+test.route+"/x", "id", "body", turnFields...)
			<-started
			// when the client goes
			c.socket.Close()
			// then the endpoint's work ends, long before the request's time is over, and nothing is begun anew
			select {
			case <-first.closed:
			case <-time.After(disconnectWait):
				t.Fatal("the endpoint works on")
			}
			if outcome := <-f.selector.outcomes; outcome.Result != ClientClosed {
				t.Errorf("outcome %+v", outcome)
			}
			f.stop()
			if first.count.Load() != 1 || second.count.Load() != 0 {
				t.Errorf("%d sends to the first endpoint and %d to the second", first.count.Load(), second.count.Load())
			}
		})
	}
}

func TestQueuedRequest_ClientCloses_LeavesQueue(t *testing.T) {
	// given an endpoint at capacity, and a request that waits for it
	loadBalancer, inFlight := newSaturatedBalancer(t)
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer })
	config := configurationWithLatencyTarget(100_000)
	f.views.routes.Store(NewRoutes(config))
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	awaitQueued(loadBalancer, 1)
	// when its client goes, then it waits no more, and gets no capacity when there is some
	c.socket.Close()
	awaitQueued(loadBalancer, 0)
	loadBalancer.Done(inFlight, Outcome{Result: Succeeded})
	f.stop()
	loadBalancer.mutex.Lock()
	defer loadBalancer.mutex.Unlock()
	if left := loadBalancer.queueFor("plain").Len(); left != 0 {
		t.Errorf("%d in the queue", left)
	}
}

func TestQueuedRequest_SelectedAsClientCloses_GivesSelectionBack(t *testing.T) {
	// given a request that gets capacity at the moment at which its client goes
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
	// then the next one gets that capacity
	if _, err := loadBalancer.Select(t.Context(), newRequestInfo(0)); err != nil {
		t.Errorf("the capacity was not free: %v", err)
	}
}

func TestTurn_ClientClosesDuringBegin_IsNotSent(t *testing.T) {
	// given stores that take a turn just after its client has gone
	e := newEndpoint(t, stream(event(1, "one")))
	f := newFixture(t, e)
	asked := make(chan struct{})
	f.programs.beforeBegin = func(ctx context.Context) {
		close(asked)
		<-ctx.Done()
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "body", turnFields...)
	<-asked
	// when the client goes, then the turn isn't sent, and what it reserved is given back
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
	// given a turn whose response has come completely but for its last byte, which waits for the stores
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
	asked, release := make(chan struct{}, 2), make(chan struct{})
	f.programs.end = func(program.EndTurn) error {
		asked <- struct{}{}
		<-release
		return nil
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "body", turnFields...)
	<-asked
	// when the client goes and the stores answer, then its tokens count
	c.socket.Close()
	close(release)
	if end := <-f.programs.ended; end.Turn != "id" || end.Tokens != 3 {
		t.Errorf("committed with %+v", end)
	}
}

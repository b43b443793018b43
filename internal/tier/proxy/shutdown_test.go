package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/upstream"
)

func TestShutdown_AbandonedRequests_GetErrorResponses(t *testing.T) {
	cases := []struct {
		name     string
		route    string
		fragment func(receivedRequest) string
		status   int // or brokenOff
	}{
		{"a request that may run again", "safe", noFragment, 504},
		{"a request that runs once", "once", noFragment, 504},
		{"a stream before its first event", "stream", headFragment, 504},
		{"a turn before its first event", "turn", headFragment, 504},
		{"a stream under way", "stream", eventFragment, brokenOff},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// given an endpoint at work
			started := make(chan struct{}, 1)
			f := newFixture(t, newEndpoint(t, sendThenAwaitClose(started, test.fragment)))
			c := f.dial()
			c.request("POST", "/"+test.route+"/x", "id", "body", turnFields...)
			<-started
			var partialResponse *http.Response
			if test.status == brokenOff {
				partialResponse = c.readHead("POST")
			}
			// when a shutdown comes to the end of its time
			ended := f.shutDownThenCancel(f.refusesConnections)
			// then the client gets an error response, and the connection ends
			if test.status == brokenOff {
				if body, err := io.ReadAll(partialResponse.Body); err == nil {
					t.Errorf("looks complete: %q", body)
				}
			} else if got := c.readResponse("POST"); got.status != test.status || got.err != nil || !got.close {
				t.Errorf("got %+v", got)
			}
			if err := <-ended; err == nil {
				t.Error("the shutdown says that all requests have ended by themselves")
			}
			if test.route == "turn" {
				if end := <-f.programs.ended; end.Complete || end.Turn != "id" {
					t.Errorf("committed with %+v", end)
				}
			}
		})
	}
}

func TestShutdown_QueuedRequest_IsRejected(t *testing.T) {
	// given a request that waits for capacity
	loadBalancer, _ := newSaturatedBalancer(t)
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer })
	f.setRouteTimeout(60_000)
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	awaitQueued(loadBalancer, 1)
	// when a shutdown comes to the end of its time, then the client learns that it has not run
	ended := f.shutDownThenCancel(f.refusesConnections)
	if got := c.readResponse("POST"); got.status != 503 || !got.close {
		t.Errorf("got %+v", got)
	}
	if err := <-ended; err == nil {
		t.Error("the shutdown abandoned nothing")
	}
}

// shutDownThenCancel shuts the proxy down, and ends the time for that once a condition holds.
func (f *fixture) shutDownThenCancel(condition func() bool) <-chan error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.proxy.Shutdown(ctx) }()
	for !condition() {
	}
	cancel()
	return ended
}

// refusesConnections reports whether the proxy takes no more connections.
func (f *fixture) refusesConnections() bool {
	socket, err := net.Dial("tcp4", f.proxy.FrontAddress().String())
	if err != nil {
		return true
	}
	socket.Close()
	return false
}

func TestShutdown_PendingCommits_GetFinalTimeout(t *testing.T) {
	cases := []struct {
		name  string
		takes time.Duration // until the stores answer
		taken bool
	}{
		{"given stores that answer in time when the shutdown's time is over then the turn is committed", 100 * time.Millisecond, true},
		{"given stores that don't when it is over then the turn is abandoned", time.Second, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stores := &fakePrograms{ended: make(chan program.EndTurn, 1), beforeEnd: func(ctx context.Context) error {
					select {
					case <-time.After(test.takes):
						return nil
					case <-ctx.Done():
						return ctx.Err()
					}
				}}
				s := newUsageCommitter(stores)
				s.commit("key", program.EndTurn{Turn: "id"})
				over, cancel := context.WithCancel(t.Context())
				cancel()
				began := time.Now()
				s.drain(over)
				if waited := time.Since(began); waited > finalCommitsTimeout {
					t.Errorf("waited for %v", waited)
				}
				if taken := len(stores.ended) == 1; taken != test.taken {
					t.Errorf("committed: %v", taken)
				}
			})
		})
	}
}

// Requests that were abandoned may commit at any moment of a drain. The race detector sees a commit that is counted beside the wait.
func TestUsageCommitter_CommitsBesideDrain_AllEndedAfterwards(t *testing.T) {
	for range 200 {
		stores := &fakePrograms{ended: make(chan program.EndTurn, 8)}
		committer := newUsageCommitter(stores)
		over, cancel := context.WithCancel(t.Context())
		cancel()
		var abandoned sync.WaitGroup
		for range 4 {
			abandoned.Go(func() {
				committer.commit("key", program.EndTurn{Turn: "id"})
				committer.commit("key", program.EndTurn{Turn: "id"})
			})
		}
		committer.drain(over)
		committed := len(stores.ended)
		abandoned.Wait()
		committer.commit("key", program.EndTurn{Turn: "late"})
		if pending := committer.pending(); pending != 0 || len(stores.ended) != committed {
			t.Fatalf("after the drain %d commits run, and %d more have ended", pending, len(stores.ended)-committed)
		}
	}
}

func TestShutdown_Abandoning_TakesGracePeriodAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// given a client that doesn't take its response, and a turn whose commit no store takes
		stores := &fakePrograms{ended: make(chan program.EndTurn, 1), beforeEnd: func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}}
		p := &Proxy{options: Options{Logger: log.NewNopLogger()}, pool: upstream.NewPool(upstream.Options{}), usage: newUsageCommitter(stores),
			readinessServer: new(http.Server), frontend: newFrontend(closableListener{}, nil, func() clientLimits { return defaultLimits }, Options{})}
		p.frontend.clients[&clientConn{}] = struct{}{}
		p.usage.commit("key", program.EndTurn{Turn: "id"})
		over, cancel := context.WithCancel(t.Context())
		cancel()
		// when a shutdown comes to the end of its time, then it takes no longer than it says
		began := time.Now()
		if err := p.Shutdown(over); err == nil {
			t.Error("the shutdown says that all requests have ended by themselves")
		}
		if took := time.Since(began); took > ShutdownGracePeriod {
			t.Errorf("took %v more", took)
		}
	})
}

// closableListener is a listener that can be closed.
type closableListener struct{ net.Listener }

func (closableListener) Close() error { return nil }

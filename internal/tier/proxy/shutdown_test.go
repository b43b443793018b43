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
		{"a stream in progress", "stream", eventFragment, brokenOff},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// given an endpoint that runs a request
			started := make(chan struct{}, 1)
			f := newFixture(t, newEndpoint(t, sendThenAwaitClose(started, test.fragment)))
			c := f.dial()
			c.request("POST", "/"+test.route+"/x", "id", "body", turnFields...)
			<-started
			var partialResponse *http.Response
			if test.status == brokenOff {
				partialResponse = c.readHead("POST")
			}
			// when the context of a shutdown ends
			ended := f.shutDownThenCancel(f.refusesConnections)
			// then the client gets an error response, and the connection is closed
			if test.status == brokenOff {
				if body, err := io.ReadAll(partialResponse.Body); err == nil {
					t.Errorf("the response looks complete: %q", body)
				}
			} else if got := c.readResponse("POST"); got.status != test.status || got.err != nil || !got.close {
				t.Errorf("got %+v", got)
			}
			if err := <-ended; err == nil {
				t.Error("Shutdown reported that no request was abandoned")
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
	// given a queued request
	loadBalancer, _ := newSaturatedBalancer(t)
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer })
	f.setRouteTimeout(60_000)
	c := f.dial()
	c.request("POST", "/once/x", "id", "body")
	awaitQueued(loadBalancer, 1)
	// when the context of a shutdown ends, then the client learns that the request has not run
	ended := f.shutDownThenCancel(f.refusesConnections)
	if got := c.readResponse("POST"); got.status != 503 || !got.close {
		t.Errorf("got %+v", got)
	}
	if err := <-ended; err == nil {
		t.Error("Shutdown reported that no request was abandoned")
	}
}

// shutDownThenCancel shuts the proxy down, and cancels the context of the shutdown once a condition holds.
func (f *fixture) shutDownThenCancel(condition func() bool) <-chan error {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.proxy.Shutdown(ctx) }()
	for !condition() {
	}
	cancel()
	return ended
}

// refusesConnections reports whether the proxy refuses new connections.
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
		name      string
		takes     time.Duration // until the program stores answer
		committed bool
	}{
		{"given program stores that answer within the final timeout when the shutdown's context ends then the turn is committed", 100 * time.Millisecond, true},
		{"given program stores that answer later when the shutdown's context ends then the turn is abandoned", time.Second, false},
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
				committer := newUsageCommitter(stores, nil)
				committer.commit("key", program.EndTurn{Turn: "id"})
				cancelled, cancel := context.WithCancel(t.Context())
				cancel()
				began := time.Now()
				committer.drain(cancelled)
				if waited := time.Since(began); waited > finalCommitsTimeout {
					t.Errorf("waited for %v", waited)
				}
				if committed := len(stores.ended) == 1; committed != test.committed {
					t.Errorf("committed: %v", committed)
				}
			})
		})
	}
}

// An abandoned request may commit at any time during a drain. The race detector reports a commit that is counted concurrently with the
// wait.
func TestUsageCommitter_CommitsBesideDrain_AllEndedAfterwards(t *testing.T) {
	for range 200 {
		stores := &fakePrograms{ended: make(chan program.EndTurn, 8)}
		committer := newUsageCommitter(stores, nil)
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		var abandoned sync.WaitGroup
		for range 4 {
			abandoned.Go(func() {
				committer.commit("key", program.EndTurn{Turn: "id"})
				committer.commit("key", program.EndTurn{Turn: "id"})
			})
		}
		committer.drain(cancelled)
		committed := len(stores.ended)
		abandoned.Wait()
		committer.commit("key", program.EndTurn{Turn: "late"})
		if pending := committer.pending(); pending != 0 || len(stores.ended) != committed {
			t.Fatalf("after the drain %d commits are running, and %d more have ended", pending, len(stores.ended)-committed)
		}
	}
}

func TestShutdown_Abandoning_TakesGracePeriodAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// given a client that does not read its response, and a turn whose commit the program stores never answer
		stores := &fakePrograms{ended: make(chan program.EndTurn, 1), beforeEnd: func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}}
		p := &Proxy{options: Options{Logger: log.NewNopLogger()}, pool: upstream.NewPool(upstream.Options{}), usage: newUsageCommitter(stores, nil),
			readinessServer: new(http.Server), frontend: newFrontend(closableListener{}, nil, func() clientLimits { return defaultLimits }, Options{})}
		p.frontend.clients[&clientConn{}] = struct{}{}
		p.usage.commit("key", program.EndTurn{Turn: "id"})
		cancelled, cancel := context.WithCancel(t.Context())
		cancel()
		// when the context of a shutdown ends, then Shutdown returns within ShutdownGracePeriod
		began := time.Now()
		if err := p.Shutdown(cancelled); err == nil {
			t.Error("Shutdown reported that no request was abandoned")
		}
		if took := time.Since(began); took > ShutdownGracePeriod {
			t.Errorf("Shutdown took %v after its context ended", took)
		}
	})
}

// closableListener is a listener that can only be closed.
type closableListener struct{ net.Listener }

func (closableListener) Close() error { return nil }

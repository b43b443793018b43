package proxy

import (
	"context"
	"errors"
	"net"
	"strconv"
	"testing"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
)

// shortTimeoutMs is a timeout of routes for which a test can wait, and within which an endpoint certainly responds.
const shortTimeoutMs = 1000

// setRouteTimeout sets the timeout of every route, and lets requests be queued for all that time.
func (f *fixture) setRouteTimeout(milliseconds int64) {
	config := newConfiguration()
	for i := range config.Routes {
		config.Routes[i].TimeoutMs = milliseconds
		config.Routes[i].LatencyTargetMs = 1000 * milliseconds
	}
	f.views.routes.Store(NewRoutes(config))
}

func TestRequest_RouteTimeout_EndsInEveryState(t *testing.T) {
	t.Parallel()
	events := func(request receivedRequest) string { return eventFragment(request) + chunk("id: 2\nda") }
	half := func(request receivedRequest) string {
		return sealedHead(200, request, "Content-Length: 100000") + "half"
	}
	cases := []struct {
		name     string
		route    string
		fragment func(receivedRequest) string
		status   int // or brokenOff
	}{
		{"a silent endpoint, safe", "safe", noFragment, 504},
		{"a silent endpoint, once", "once", noFragment, 504},
		{"a silent endpoint, stream", "stream", noFragment, 504},
		{"a silent endpoint, turn", "turn", noFragment, 504},
		{"a head without an event, stream", "stream", headFragment, 504},
		{"a head without an event, resumable", "resume", headFragment, 504},
		{"a head without an event, turn", "turn", headFragment, 504},
		{"a stream in progress", "stream", events, brokenOff},
		{"a resumable stream in progress", "resume", events, brokenOff},
		{"a turn in progress", "turn", events, brokenOff},
		{"half a long response, once", "once", half, brokenOff},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			// given an endpoint that never finishes, and a client with a late deadline
			e := newEndpoint(t, sendThenAwaitClose(make(chan struct{}, 1), test.fragment))
			f := newFixture(t, e)
			f.setRouteTimeout(shortTimeoutMs)
			c := f.dial()
			c.request("POST", "/"+test.route+"/x", "id", "body", append(turnFields, "X-Time-Left-Ms: 60000")...)
			// when the route's timeout expires, then the request ends at the client and at the endpoint
			got := c.readResponse("POST")
			if test.status == brokenOff && got.err == nil {
				t.Errorf("the response looks complete: %+v", got)
			}
			if test.status != brokenOff && (got.status != test.status || got.err != nil) {
				t.Errorf("got %+v", got)
			}
			<-e.closed
			if outcome := <-f.selector.outcomes; outcome.Result != DeadlineExceeded {
				t.Errorf("outcome %+v", outcome)
			}
		})
	}
}

func TestRequest_NotSentByDeadline_IsRejected(t *testing.T) {
	t.Parallel()
	t.Run("queued for capacity", func(t *testing.T) {
		t.Parallel()
		loadBalancer, _ := newSaturatedBalancer(t)
		f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer })
		f.setRouteTimeout(shortTimeoutMs)
		c := f.dial()
		c.request("POST", "/once/x", "id", "body", "X-Time-Left-Ms: 60000")
		if got := c.readResponse("POST"); got.status != 503 {
			t.Errorf("got %+v", got)
		}
	})
	t.Run("waiting for the program stores", func(t *testing.T) {
		t.Parallel()
		e := newEndpoint(t, stream(event(1, "one")))
		f := newFixture(t, e)
		f.setRouteTimeout(shortTimeoutMs)
		f.programs.beforeBegin = func(ctx context.Context) { <-ctx.Done() }
		f.programs.begin = func(program.BeginTurn) (program.Result, error) { return program.Result{}, errors.New("no owner") }
		c := f.dial()
		c.request("POST", "/turn/x", "id", "body", append(turnFields, "X-Time-Left-Ms: 60000")...)
		if got := c.readResponse("POST"); got.status != 503 || e.count.Load() != 0 {
			t.Errorf("got %+v", got)
		}
	})
}

func TestTurn_CommitNotDurableByDeadline_IsBrokenOff(t *testing.T) {
	t.Parallel()
	// given program stores that do not answer the commit of a complete turn
	f := newFixture(t, newEndpoint(t, stream(event(1, "one"))))
	f.setRouteTimeout(shortTimeoutMs)
	release := make(chan struct{})
	f.programs.beforeEnd = func(ctx context.Context) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-release:
			return nil
		}
	}
	c := f.dial()
	c.request("POST", "/turn/x", "id", "body", append(turnFields, "X-Time-Left-Ms: 60000")...)
	// when the route's timeout expires, then the client sees an interrupted response, and the tokens are committed later
	if got := c.readResponse("POST"); got.err == nil {
		t.Errorf("the response looks complete: %+v", got)
	}
	close(release)
	if end := <-f.programs.ended; end.Complete || end.Tokens != 3 {
		t.Errorf("committed with %+v", end)
	}
}

func TestTimeLeft_IsAtMostClientsAndRoutes(t *testing.T) {
	cases := []struct {
		name           string
		sent           string // X-Time-Left-Ms of the client; empty: none
		routeTimeoutMs int64
		maximum        int
	}{
		{"the client's limit is shorter", "20000", 50000, 20000},
		{"the route's limit is shorter", "90000", 50000, 50000},
		{"the client sends none", "", 50000, 50000},
		{"the client sends what is not a number", "soon", 50000, 50000},
	}
	for _, test := range cases {
		for _, route := range newConfiguration().Routes {
			t.Run(test.name+", "+route.Name, func(t *testing.T) {
				script := respondWith(200, "good")
				if route.Kind == model.Streaming {
					script = stream(event(1, "one"))
				}
				first, second := newEndpoint(t, failFirstAttempt(route)), newEndpoint(t, script)
				f := newFixture(t, first, second)
				f.setRouteTimeout(test.routeTimeoutMs)
				c := f.dial()
				fields := turnFields
				if test.sent != "" {
					fields = append(fields, "X-Time-Left-Ms: "+test.sent)
				}
				c.request("POST", "/"+route.Name+"/x", "id", "body", fields...)
				if got := c.readResponse("POST"); got.status != 200 || got.err != nil {
					t.Fatalf("got %+v", got)
				}
				before, after := timeLeftOf(t, <-first.requests), timeLeftOf(t, <-second.requests)
				if before > test.maximum || after > before || after < test.maximum/2 {
					t.Errorf("endpoints received %d ms, then %d ms, want at most %d ms", before, after, test.maximum)
				}
			})
		}
	}
}

// failFirstAttempt returns a script that fails so that a request of the route goes to another endpoint.
func failFirstAttempt(route model.Route) func(net.Conn, receivedRequest) bool {
	if retryable(&route) {
		return resetConnection
	}
	return respondNotRun
}

// timeLeftOf returns the X-Time-Left-Ms that an endpoint received.
func timeLeftOf(t *testing.T, request receivedRequest) int {
	t.Helper()
	value := request.header["X-Time-Left-Ms"]
	if len(value) != 1 {
		t.Fatalf("got X-Time-Left-Ms %q", value)
	}
	milliseconds, err := strconv.Atoi(value[0])
	if err != nil || milliseconds < 1 {
		t.Fatalf("got X-Time-Left-Ms %q", value[0])
	}
	return milliseconds
}

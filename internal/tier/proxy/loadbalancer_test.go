package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/balancer"
	"mastusher/internal/tier/model"
)

// newRequestInfo returns a request of a route with this priority. It may be queued for a second.
func newRequestInfo(priority int) *RequestInfo {
	now := time.Now()
	return &RequestInfo{
		Route: &model.Route{Name: fmt.Sprint("r", priority), Kind: model.AtMostOnce, Priority: priority, MaxAttempts: 1, LatencyTargetMs: 4000, TimeoutMs: 8000,
			Service: "plain"},
		Service:   &model.Service{Name: "plain", MaxConnections: 80},
		ArrivedAt: now,
		Deadline:  now.Add(8 * time.Second),
	}
}

// newSaturatedBalancer returns a load balancer with one endpoint at capacity, and the selection in flight there.
func newSaturatedBalancer(t *testing.T) (*LoadBalancer, Selection) {
	t.Helper()
	loadBalancer := NewLoadBalancer("z", 1)
	loadBalancer.balancer = balancer.New(balancer.Options{Zone: "z", MaxInFlight: 1})
	loadBalancer.SetEndpoints([]model.Endpoint{{ID: "e", Service: "plain", Address: "127.0.0.1:1", Zone: "z", Capacity: 1, State: model.Ready}})
	inFlight, err := loadBalancer.Select(t.Context(), newRequestInfo(0))
	if err != nil || inFlight.ID != "e" || inFlight.Address != "127.0.0.1:1" || inFlight.MaxConnections != 10 {
		t.Fatalf("got selection %+v, %v", inFlight, err)
	}
	return loadBalancer, inFlight
}

// queued returns the number of queued requests.
func (b *LoadBalancer) queued() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.waiting)
}

func awaitQueued(loadBalancer *LoadBalancer, count int) {
	for loadBalancer.queued() != count {
		runtime.Gosched()
	}
}

func TestLoadBalancer_NoEndpoint_Rejects(t *testing.T) {
	loadBalancer := NewLoadBalancer("z", 1)
	_, err := loadBalancer.Select(t.Context(), newRequestInfo(0))
	var rejection *RejectionError
	if !errors.As(err, &rejection) || rejection.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
}

func TestLoadBalancer_CapacityFreed_MostUrgentFirst(t *testing.T) {
	loadBalancer, inFlight := newSaturatedBalancer(t)
	order := make(chan int, 3)
	var done sync.WaitGroup
	for i, priority := range []int{2, 0, 1} {
		done.Go(func() {
			selection, err := loadBalancer.Select(t.Context(), newRequestInfo(priority))
			if err != nil {
				t.Errorf("priority %d: %v", priority, err)
				return
			}
			order <- priority
			loadBalancer.Done(selection, Outcome{Result: Succeeded, Elapsed: time.Millisecond})
		})
		awaitQueued(loadBalancer, i+1)
	}
	loadBalancer.Done(inFlight, Outcome{Result: Succeeded, Elapsed: time.Millisecond})
	done.Wait()
	if diff := cmp.Diff([]int{0, 1, 2}, []int{<-order, <-order, <-order}); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestLoadBalancer_QueuedTooLong_Rejects(t *testing.T) {
	loadBalancer, _ := newSaturatedBalancer(t)
	info := newRequestInfo(0)
	info.Route.LatencyTargetMs = 80
	_, err := loadBalancer.Select(t.Context(), info)
	var rejection *RejectionError
	if !errors.As(err, &rejection) || rejection.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
	if waited := time.Since(info.ArrivedAt); waited < 20*time.Millisecond || waited > time.Second {
		t.Errorf("rejected after %v", waited)
	}
	if loadBalancer.queued() != 0 {
		t.Error("the request is still queued")
	}
}

func TestLoadBalancer_QueueFull_DisplacedRequestGetsItsOwnRejection(t *testing.T) {
	// Given a full queue that holds a request which any endpoint may run,
	loadBalancer, _ := newSaturatedBalancer(t)
	loadBalancer.queues["plain"] = balancer.NewQueue(1)
	displaced := make(chan error, 1)
	go func() {
		_, err := loadBalancer.Select(t.Context(), newRequestInfo(2))
		displaced <- err
	}()
	awaitQueued(loadBalancer, 1)
	// when a more urgent request without attempts left displaces it,
	ctx, cancel := context.WithCancel(t.Context())
	newcomer := newRequestInfo(0)
	newcomer.AttemptsUsed = newcomer.Route.MaxAttempts
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = loadBalancer.Select(ctx, newcomer)
	}()
	// then the displaced request gets its own rejection with a Retry-After, and not that of a request without attempts left.
	var rejection *RejectionError
	if err := <-displaced; !errors.As(err, &rejection) || rejection.Kind != apierror.Overloaded || rejection.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
	cancel()
	<-ended
}

func TestLoadBalancer_MayHaveRun_IsNotQueued(t *testing.T) {
	loadBalancer, _ := newSaturatedBalancer(t)
	info := newRequestInfo(0)
	info.Route.Kind, info.Route.MaxAttempts = model.Retryable, 2
	info.MayHaveRun, info.AttemptsUsed = true, 1
	if _, err := loadBalancer.Select(t.Context(), info); err == nil {
		t.Error("the request was not rejected")
	}
}

func TestLoadBalancer_ClientCloses_LeavesNothingQueued(t *testing.T) {
	loadBalancer, inFlight := newSaturatedBalancer(t)
	ctx, cancel := context.WithCancel(t.Context())
	left := make(chan error)
	go func() {
		_, err := loadBalancer.Select(ctx, newRequestInfo(0))
		left <- err
	}()
	awaitQueued(loadBalancer, 1)
	cancel()
	if err := <-left; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	loadBalancer.Done(inFlight, Outcome{Result: Succeeded, Elapsed: time.Millisecond})
	if _, err := loadBalancer.Select(t.Context(), newRequestInfo(0)); err != nil {
		t.Errorf("the capacity was not released: %v", err)
	}
}

func TestOutcomeKind_EachResult_MapsToBalancers(t *testing.T) {
	const left = time.Second
	cases := []struct {
		outcome Outcome
		want    balancer.OutcomeKind
	}{
		{Outcome{Result: Succeeded}, balancer.Success},
		{Outcome{Result: ErrorResponse}, balancer.ErrorStatus},
		{Outcome{Result: NotRun}, balancer.NotRun},
		{Outcome{Result: NotRun, Misdirected: true}, balancer.Misdirected},
		{Outcome{Result: NeverSent}, balancer.ConnectFailure},
		{Outcome{Result: IncompleteResponse}, balancer.IncompleteResponse},
		{Outcome{Result: TimedOut}, balancer.TimedOut},
		{Outcome{Result: DeadlineExceeded}, balancer.TimedOut},
		{Outcome{Result: ClientClosed, Elapsed: left / 2}, balancer.Cancelled},
		{Outcome{Result: ClientClosed, Elapsed: left}, balancer.TimedOut},
		{Outcome{Result: Cancelled}, balancer.NotSent},
		{Outcome{Result: OutOfMemory, Elapsed: left}, balancer.Discarded},
		{Outcome{Result: Cancelled, Elapsed: left}, balancer.NotSent},
	}
	for _, test := range cases {
		if got := outcomeKind(test.outcome, left); got != test.want {
			t.Errorf("%+v: got %v, want %v", test.outcome, got, test.want)
		}
	}
}

func TestHeaders_Figures_AreParsed(t *testing.T) {
	loads := map[string]balancer.Load{"3,0,8": {Running: 3, Capacity: 8}, "1, 2, 3": {Running: 1, Queued: 2, Capacity: 3}, "": {}, "3,0": {}, "a,b,c": {}}
	for value, want := range loads {
		if got := parseLoad(value); got != want {
			t.Errorf("load %q: %+v", value, got)
		}
	}
	prompts := []struct {
		prefix         string
		shared, suffix int
	}{{"5c1e07a2:800,91bd3f06:410,e4402b7d:250", 1210, 250}, {"ab:7", 0, 7}, {"", 0, 99}, {"ab:x", 0, 99}}
	for _, test := range prompts {
		shared, suffix := promptTokens(&RequestInfo{PromptPrefix: test.prefix, PromptTokens: 99})
		if shared != test.shared || suffix != test.suffix {
			t.Errorf("prefix %q: %d tokens in the prefix and %d in the suffix", test.prefix, shared, suffix)
		}
	}
	for value, want := range map[string]time.Duration{"5000": 5 * time.Second, "0.5": 500 * time.Microsecond, "": 0, "-1": 0, "x": 0, "NaN": 0} {
		if got, _ := parseMilliseconds(value); got != want {
			t.Errorf("%q ms: %v", value, got)
		}
	}
	if prompt, maximum := parseTokenCounts("1840,135"); prompt != 1840 || maximum != 135 {
		t.Errorf("token counts %d, %d", prompt, maximum)
	}
}

func TestLoadBalancer_InProxy_ServesRequests(t *testing.T) {
	first, second := newEndpoint(t, respondNotRun), newEndpoint(t, respondWith(200, "good", "X-Server-Load: 1,0,8"))
	loadBalancer := NewLoadBalancer("z", 1)
	loadBalancer.SetEndpoints([]model.Endpoint{
		{ID: "e1", Service: "plain", Address: first.listener.Addr().String(), Zone: "z", Capacity: 8, State: model.Ready},
		{ID: "e2", Service: "plain", Address: second.listener.Addr().String(), Zone: "z", Capacity: 8, State: model.Ready},
	})
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer }, first, second)
	c := f.dial()
	for i := range 20 {
		c.request("GET", "/once/x", fmt.Sprint(i), "")
		if got := c.readResponse("GET"); got.status != 200 || got.body != "good" {
			t.Errorf("request %d: %+v", i, got)
		}
	}
	if first.count.Load() == 20 {
		t.Error("an endpoint that rejects all requests got them all")
	}
}

func TestLoadBalancer_PoolExhausted_IsNoEndpointFailure(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		started <- struct{}{}
		<-release
		return respondWith(200, "good")(socket, request)
	})
	f := newFixture(t, e)
	f.selector.endpoints[0].MaxConnections = 1
	first, second := f.dial(), f.dial()
	first.request("GET", "/once/x", "1", "")
	<-started
	second.request("GET", "/once/x", "2", "")
	if got := second.readResponse("GET"); got.status != 503 {
		t.Errorf("got %+v", got)
	}
	if outcome := <-f.selector.outcomes; outcome.Result != NotRun {
		t.Errorf("outcome %+v", outcome)
	}
	close(release)
	if got := first.readResponse("GET"); got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

func TestLoadBalancer_OnlyRejectingEndpointsLeft_ReturnsToThem(t *testing.T) {
	// given a service's only endpoint, which rejects a request once
	var requests atomic.Int64
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		if requests.Add(1) == 1 {
			return respondNotRun(socket, request)
		}
		return respondWith(200, "good")(socket, request)
	})
	loadBalancer := NewLoadBalancer("z", 1)
	loadBalancer.SetEndpoints(endpointsOf([]string{e.listener.Addr().String()}, model.Ready))
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer }, e)
	config := configurationWithLatencyTarget(4000)
	f.views.routes.Store(NewRoutes(config))
	// when a request is sent, and another one after it
	first, second := f.dial(), f.dial()
	first.request("POST", "/once/x", "id1", "body")
	got := first.readResponse("POST")
	second.request("POST", "/once/x", "id2", "body")
	// then both are served: the endpoint declared the first one as not run
	if got.status != 200 {
		t.Errorf("the first request: %+v", got)
	}
	if got := second.readResponse("POST"); got.status != 200 {
		t.Errorf("the second request: %+v", got)
	}
}

func TestLoadBalancer_EndpointRejected_PrefersOthers(t *testing.T) {
	addresses := []string{"127.0.0.1:1", "127.0.0.1:2"}
	cases := []struct {
		name       string
		rejectedBy []string
		excluded   []string
		want       string
	}{
		{"given two endpoints when one has rejected the request then the other is selected", []string{"e1"}, []string{"e1"}, "e2"},
		{"given an endpoint that may have run the request when the other has rejected it then the other is selected again", []string{"e1"}, []string{"e1", "e2"}, "e1"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			loadBalancer := NewLoadBalancer("z", 1)
			loadBalancer.SetEndpoints(endpointsOf(addresses, model.Ready, model.Ready))
			info := newRequestInfo(0)
			info.RejectedBy, info.Excluded = test.rejectedBy, test.excluded
			if selection, err := loadBalancer.Select(t.Context(), info); err != nil || selection.ID != test.want {
				t.Errorf("got %q, %v", selection.ID, err)
			}
		})
	}
}

func TestLoadBalancer_NoConnectionFree_QueuesRequest(t *testing.T) {
	// given a service's only endpoint, with all its connections in use
	started, release := make(chan struct{}, 3), make(chan struct{})
	e := newEndpoint(t, func(socket net.Conn, request receivedRequest) bool {
		started <- struct{}{}
		<-release
		return respondWith(200, "good")(socket, request)
	})
	loadBalancer := NewLoadBalancer("z", 1)
	loadBalancer.SetEndpoints(endpointsOf([]string{e.listener.Addr().String()}, model.Ready))
	f := newFixtureWith(t, func(options *Options) { options.Selector = loadBalancer }, e)
	config := configurationWithLatencyTarget(8000)
	for i := range config.Services {
		config.Services[i].MaxConnections = minConnections
	}
	f.views.routes.Store(NewRoutes(config))
	clients := []*client{f.dial(), f.dial(), f.dial()}
	for i, c := range clients[:minConnections] {
		c.request("GET", "/once/x", fmt.Sprint(i), "")
		<-started
	}
	// when another request is queued and a connection becomes free
	clients[minConnections].request("GET", "/once/x", "another", "")
	awaitQueued(loadBalancer, 1)
	close(release)
	// then all requests are served
	for i, c := range clients {
		if got := c.readResponse("GET"); got.status != 200 {
			t.Errorf("request %d: %+v", i, got)
		}
	}
}

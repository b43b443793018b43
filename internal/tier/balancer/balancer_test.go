package balancer

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

// endpointsOf returns n ready endpoints of one service, in the zones z0 to z3 by turns.
func endpointsOf(service string, n, capacity int) []model.Endpoint {
	list := make([]model.Endpoint, n)
	for i := range list {
		list[i] = model.Endpoint{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: fmt.Sprintf("z%d", i%4),
			Version: "v1", Capacity: capacity, State: model.Ready}
	}
	return list
}

func newBalancer(list []model.Endpoint) *Balancer {
	balancer := New(Options{Zone: "z0", Seed: 7})
	balancer.SetEndpoints(0, list)
	return balancer
}

func retryableRequest() Request {
	return Request{Service: "feeds", Route: Route{Name: "r", Kind: model.Retryable, MaxAttempts: 3}, Retryable: true,
		TimeLeft: 2 * time.Second}
}

func atMostOnceRequest() Request {
	r := retryableRequest()
	r.Route.Kind, r.Retryable = model.AtMostOnce, false
	return r
}

// call makes one attempt that ends after elapsed, and returns the ID of its endpoint.
func call(t *testing.T, balancer *Balancer, now time.Duration, r Request, kind OutcomeKind, elapsed time.Duration) string {
	t.Helper()
	d := balancer.Select(now, r)
	if d.Endpoint == nil {
		t.Fatalf("rejected: %v", d.Rejection)
	}
	balancer.Sent(now, &d.Attempt)
	balancer.Done(now+elapsed, &d.Attempt, Outcome{Kind: kind, Elapsed: elapsed})
	return d.Endpoint.ID
}

// callRepeatedly makes successful calls that take elapsed each, with pauses in which the plan may be solved again. It returns the time
// after them.
func callRepeatedly(t *testing.T, balancer *Balancer, now time.Duration, r Request, calls int, elapsed time.Duration) time.Duration {
	t.Helper()
	for range calls {
		call(t, balancer, now, r, Success, elapsed)
		now += elapsed + solveInterval
	}
	return now
}

func TestSelect_NoCallTimes_LastsUntilDeadline(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 3, 6))
	d := balancer.Select(0, retryableRequest())
	if d.Endpoint == nil || !d.UntilDeadline || d.Timeout != 2*time.Second {
		t.Errorf("decision %+v; want a call that may last until the deadline", d)
	}
}

func TestSelect_NothingEligible_RejectsWithReason(t *testing.T) {
	drained := endpointsOf("feeds", 2, 6)
	for i := range drained {
		drained[i].State = model.Draining
	}
	mixed := endpointsOf("feeds", 2, 6)
	mixed[1].Version = "v2"
	tests := []struct {
		name   string
		list   []model.Endpoint
		change func(*Request)
		want   RejectionKind
	}{
		{"the service has no endpoint", nil, nil, NoEndpoint},
		{"all endpoints are draining", drained, nil, NoEndpoint},
		{"two versions are listed and neither is known to be in service", mixed, nil, NoEndpoint},
		{"all endpoints have been tried", endpointsOf("feeds", 2, 6),
			func(r *Request) { r.Excluded = []string{"feeds-0", "feeds-1"} }, NoEndpoint},
		{"all attempts are used", endpointsOf("feeds", 2, 6), func(r *Request) { r.AttemptsUsed = 3 }, AttemptsExhausted},
		{"the request may have run and must not run twice", endpointsOf("feeds", 2, 6),
			func(r *Request) { r.Retryable, r.MayHaveRun = false, true }, AttemptsExhausted},
		{"no time is left", endpointsOf("feeds", 2, 6), func(r *Request) { r.TimeLeft = 0 }, AttemptsExhausted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			balancer := newBalancer(test.list)
			r := retryableRequest()
			if test.change != nil {
				test.change(&r)
			}
			if d := balancer.Select(0, r); d.Endpoint != nil || d.Rejection.Kind != test.want {
				t.Errorf("endpoint %v, rejection %v; want %v", d.Endpoint, d.Rejection.Kind, test.want)
			}
		})
	}
}

func TestSelect_LessTimeThanMedian_RejectsAsDeadlineTooShort(t *testing.T) {
	// Given endpoints whose calls take 300 ms.
	balancer := newBalancer(endpointsOf("feeds", 3, 6))
	now := callRepeatedly(t, balancer, 0, retryableRequest(), 12, 300*time.Millisecond)

	// When a request has 100 ms left, then it is rejected; with 500 ms left it is sent.
	r := retryableRequest()
	if r.TimeLeft = 100 * time.Millisecond; balancer.Select(now, r).Rejection.Kind != DeadlineTooShort {
		t.Error("a request with a third of the median left was not rejected as DeadlineTooShort")
	}
	if r.TimeLeft = 500 * time.Millisecond; balancer.Select(now, r).Endpoint == nil {
		t.Error("a request with more than the median left was rejected")
	}
}

func TestSelect_SlowOutlierCalls_PlansTimeoutForRetryableOnly(t *testing.T) {
	// Given endpoints that take 50 ms, but 2 s for every fifth call, whatever its request.
	balancer := newBalancer(endpointsOf("feeds", 3, 6))
	now := time.Duration(0)
	for i := range 150 {
		elapsed := 50 * time.Millisecond
		if i%5 == 4 {
			elapsed = 2 * time.Second
		}
		call(t, balancer, now, retryableRequest(), Success, elapsed)
		now += solveInterval
	}
	now += 2 * time.Second

	// When a retryable request comes, then its timeout is much shorter than its time left.
	d := balancer.Select(now, retryableRequest())
	if d.UntilDeadline || d.Timeout > time.Second {
		t.Errorf("retryable: timeout %v, until deadline %v; want a timeout of at most a second", d.Timeout, d.UntilDeadline)
	}
	// And a request that must not run twice may last until its deadline.
	if d := balancer.Select(now, atMostOnceRequest()); !d.UntilDeadline || d.Timeout != 2*time.Second {
		t.Errorf("at most once: timeout %v, until deadline %v; want 2s, the time left", d.Timeout, d.UntilDeadline)
	}
	// And so may a retryable request whose program's budget doesn't pay for another attempt.
	r := retryableRequest()
	if r.AffordableAttempts = 1; !balancer.Select(now, r).UntilDeadline {
		t.Error("the only attempt that the program's budget pays for has a planned timeout")
	}
	// And so may a retryable request that has excluded all endpoints but one.
	r.AffordableAttempts = 0
	r.Excluded = []string{"feeds-0", "feeds-1"}
	if d := balancer.Select(now, r); !d.UntilDeadline {
		t.Errorf("the attempt at the last endpoint has a planned timeout of %v", d.Timeout)
	}
}

func TestSelect_OneEndpointFaster_PrefersIt(t *testing.T) {
	// Given two endpoints, one of which takes four times as long.
	balancer := newBalancer(endpointsOf("feeds", 2, 6))
	now, counts := time.Duration(0), map[string]int{}
	for range 200 {
		d := balancer.Select(now, retryableRequest())
		elapsed := 50 * time.Millisecond
		if d.Endpoint.ID == "feeds-0" {
			elapsed = 200 * time.Millisecond
		}
		balancer.Sent(now, &d.Attempt)
		balancer.Done(now+elapsed, &d.Attempt, Outcome{Elapsed: elapsed})
		counts[d.Endpoint.ID]++
		now += elapsed + 10*time.Millisecond
	}
	if counts["feeds-1"] < 150 {
		t.Errorf("calls by endpoint %v; want at least 150 of 200 at feeds-1", counts)
	}
}

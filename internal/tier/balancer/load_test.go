package balancer

import (
	"testing"
	"time"

	"mastusher/internal/tier/model"
)

func TestSelect_AllEndpointsAtCapacity_RejectsAsSaturated(t *testing.T) {
	// Given two endpoints of capacity 2 that report that they and their queues are full.
	balancer := newBalancer(endpointsOf("feeds", 2, 2))
	for range 2 {
		d := balancer.Select(0, retryableRequest())
		balancer.Sent(0, &d.Attempt)
		balancer.Done(0, &d.Attempt, Outcome{Elapsed: 50 * time.Millisecond, Load: Load{Running: 3, Queued: 1, Capacity: 2}})
	}
	// When a request comes, then it is rejected with a time for the retry; 5 s later one is sent.
	if d := balancer.Select(0, retryableRequest()); d.Rejection.Kind != Saturated || d.Rejection.RetryAfter <= 0 {
		t.Errorf("decision %+v, want Saturated and a RetryAfter above 0", d)
	}
	if d := balancer.Select(5*time.Second, retryableRequest()); d.Endpoint == nil {
		t.Errorf("rejected (%v) because of a report from 5 s ago", d.Rejection.Kind)
	}
}

func TestDone_Cancelled_CountsAsInFlightForAWhile(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 1, 6))
	now := callRepeatedly(t, balancer, 0, atMostOnceRequest(), 8, 200*time.Millisecond)
	d := balancer.Select(now, atMostOnceRequest())
	balancer.Sent(now, &d.Attempt)
	balancer.Done(now+50*time.Millisecond, &d.Attempt, Outcome{Kind: Cancelled, Elapsed: 50 * time.Millisecond})
	e := balancer.endpoints["feeds-0"]
	if got := e.estimatedInFlight(now+60*time.Millisecond, 0); got < 1 {
		t.Errorf("in flight right after the cancellation: %v, want at least 1", got)
	}
	if got := e.estimatedInFlight(now+time.Second, 0); got > 0.5 {
		t.Errorf("in flight a second later: %v, want at most 0.5", got)
	}
}

// A cancelled stream must not count as running beyond its deadline. One that may generate many tokens counted for half an hour, so that its
// endpoint, though idle, took no requests.
func TestDone_CancelledLongStream_CountsAsInFlightUntilItsDeadline(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 1, 6))
	r := atMostOnceRequest()
	r.Route.Kind, r.OutputTokens, r.TimeLeft = model.Streaming, 300_000, 4*time.Second
	d := balancer.Select(0, r)
	balancer.Sent(0, &d.Attempt)
	balancer.Done(time.Second, &d.Attempt, Outcome{Kind: Cancelled, Elapsed: time.Second})
	e := balancer.endpoints["feeds-0"]
	if got := e.estimatedInFlight(3900*time.Millisecond, 0); got < 1 {
		t.Errorf("in flight before the deadline: %v, want at least 1", got)
	}
	if got := e.estimatedInFlight(4100*time.Millisecond, 0); got > 0 {
		t.Errorf("in flight after the deadline: %v, want none", got)
	}
}

func TestSelect_OneEndpoint_TakesAtMostItsShareOfInFlight(t *testing.T) {
	balancer := New(Options{Seed: 1, MaxInFlight: 16})
	list := endpointsOf("feeds", 1, 1000)
	balancer.SetEndpoints(0, list)
	attempts := make([]Attempt, 0, 20)
	for {
		d := balancer.Select(0, atMostOnceRequest())
		if d.Endpoint == nil {
			break
		}
		attempts = append(attempts, d.Attempt)
		balancer.Sent(0, &attempts[len(attempts)-1])
	}
	if len(attempts) != 12 {
		t.Errorf("one endpoint got %d attempts in flight, want 12 of 16", len(attempts))
	}
	// And half of MaxInFlight once its calls are overdue.
	balancer.Select(5*time.Second, atMostOnceRequest())
	if got := balancer.maxInFlightTo(balancer.endpoints["feeds-0"]); got != 8 {
		t.Errorf("limit while calls are overdue: %d, want 8", got)
	}
}

// The load in a stream's head was recorded again at the stream's end, over all reports that had come since.
func TestDone_StreamEnds_LoadOfItsHeadIsNotRecordedAgain(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 1, 6))
	busy, idle := Load{Running: 5, Capacity: 6}, Load{Running: 1, Capacity: 6}
	long := balancer.Select(0, retryableRequest())
	balancer.Sent(0, &long.Attempt)
	balancer.FirstEvent(10*time.Millisecond, &long.Attempt, busy)

	// Given a newer report, of a short call,
	short := balancer.Select(2*time.Second, retryableRequest())
	balancer.Sent(2*time.Second, &short.Attempt)
	balancer.Done(2050*time.Millisecond, &short.Attempt, Outcome{Elapsed: 50 * time.Millisecond, Load: idle})
	e := balancer.endpoints["feeds-0"]
	if e.load.othersInFlight != 0 {
		t.Fatalf("calls of others after the newer report: %v, want 0", e.load.othersInFlight)
	}

	// when the stream ends, then the newer report stands.
	balancer.Done(2100*time.Millisecond, &long.Attempt, Outcome{Elapsed: 2100 * time.Millisecond, Load: busy})
	if e.load.othersInFlight != 0 || e.load.reportedAt != 2050*time.Millisecond {
		t.Errorf("calls of others: %v, reported at %v; want those of the newer report", e.load.othersInFlight, e.load.reportedAt)
	}
}

// A response that the proxy had no memory for counted as a call that goes on for as long as all its tokens would take, and so took the
// endpoint's places for half an hour.
func TestDone_Discarded_LeavesNothingInFlight(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 1, 6))
	d := balancer.Select(0, retryableRequest())
	balancer.Sent(0, &d.Attempt)
	balancer.Done(time.Second, &d.Attempt, Outcome{Kind: Discarded, Elapsed: time.Second})
	e := balancer.endpoints["feeds-0"]
	if got := e.estimatedInFlight(time.Second, 0); got != 0 {
		t.Errorf("in flight: %v, want none", got)
	}
}

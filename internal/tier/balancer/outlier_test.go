package balancer

import (
	"testing"
	"time"
)

func TestSelect_EndpointRejects_BacksOffLonger(t *testing.T) {
	balancer := newBalancer(endpointsOf("feeds", 1, 6))
	now := time.Duration(0)
	previous := time.Duration(0)
	for range 4 {
		call(t, balancer, now, retryableRequest(), NotRun, time.Millisecond)
		now += time.Millisecond
		d := balancer.Select(now, retryableRequest())
		if d.Endpoint != nil || d.Rejection.Kind != Saturated || d.Rejection.RetryAfter <= 0 {
			t.Fatalf("decision %+v right after a rejection; want Saturated and a RetryAfter above 0", d)
		}
		backoff := balancer.endpoints["feeds-0"].health.backoffUntil - now
		if backoff < previous/2 {
			t.Errorf("backoff of %v after one of %v; want at least half of that, as backoffs double", backoff, previous)
		}
		previous, now = backoff, now+backoff
	}
	if previous < 200*time.Millisecond {
		t.Errorf("the fourth backoff is %v, want 200 ms or more", previous)
	}
}

func TestSetEndpoints_EndpointReturns_KeepsBackoff(t *testing.T) {
	// Given an endpoint that has rejected a call.
	list := endpointsOf("feeds", 1, 6)
	balancer := newBalancer(list)
	call(t, balancer, 0, retryableRequest(), NotRun, time.Millisecond)
	// When the endpoint leaves the list and returns.
	balancer.SetEndpoints(2*time.Millisecond, nil)
	balancer.SetEndpoints(3*time.Millisecond, list)
	// Then nothing is sent there before the backoff ends.
	if d := balancer.Select(4*time.Millisecond, retryableRequest()); d.Rejection.Kind != Saturated {
		t.Errorf("decision %+v, want Saturated", d)
	}
}

func TestSelect_EndpointEjected_GetsProbesOnly(t *testing.T) {
	// Given a service with an endpoint that breaks off its responses.
	balancer := newBalancer(endpointsOf("feeds", 3, 6))
	now := callRepeatedly(t, balancer, 0, retryableRequest(), 30, 30*time.Millisecond)
	ejected := "feeds-1"
	others := []string{"feeds-0", "feeds-2"}
	toEjected := retryableRequest()
	toEjected.Excluded = others
	for range maxConsecutiveFailures {
		call(t, balancer, now, toEjected, IncompleteResponse, time.Millisecond)
	}

	// When retryable requests come for two seconds.
	probes := 0
	for range 100 {
		d := balancer.Select(now, retryableRequest())
		kind := Success
		if d.Endpoint.ID == ejected {
			probes++
			kind = IncompleteResponse
		}
		balancer.Sent(now, &d.Attempt)
		balancer.Done(now+10*time.Millisecond, &d.Attempt, Outcome{Kind: kind, Elapsed: 10 * time.Millisecond})
		now += 20 * time.Millisecond
	}
	// Then a few of them are sent to the ejected endpoint as probes.
	if probes < 1 || probes > 5 {
		t.Errorf("%d of 100 requests were sent to the ejected endpoint, want 1 to 5", probes)
	}
	// And a request that must not run twice isn't used as a probe.
	now += 10 * time.Second
	balancer.Select(now, retryableRequest())
	for range 5 {
		if got := call(t, balancer, now, atMostOnceRequest(), Success, time.Millisecond); got == ejected {
			t.Error("a request that must not run twice was used as a probe")
		}
	}
	// And if all other endpoints are excluded, the ejected one is used.
	if got := call(t, balancer, now, toEjected, Success, time.Millisecond); got != ejected {
		t.Errorf("sent to %s, want the only endpoint left", got)
	}
}

func TestSelect_CallOverdue_AvoidsEndpoint(t *testing.T) {
	// Given a service with two endpoints, one of which stops answering.
	balancer := newBalancer(endpointsOf("feeds", 2, 6))
	now := callRepeatedly(t, balancer, 0, atMostOnceRequest(), 30, 30*time.Millisecond)
	r := atMostOnceRequest()
	r.Excluded = []string{"feeds-0"}
	overdue := balancer.Select(now, r)
	balancer.Sent(now, &overdue.Attempt)

	// When a second has passed, then no other request is sent there.
	now += time.Second
	for range 20 {
		if got := call(t, balancer, now, atMostOnceRequest(), Success, 30*time.Millisecond); got != "feeds-0" {
			t.Fatal("a request was sent to the endpoint that doesn't answer")
		}
		now += 10 * time.Millisecond
	}
}

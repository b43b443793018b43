package balancer

import (
	"testing"
	"time"
)

// slowService returns a balancer whose endpoints have taken 4 s for each of many calls, and the time after them.
func slowService(t *testing.T) (*Balancer, time.Duration) {
	t.Helper()
	balancer := newBalancer(endpointsOf("feeds", 3, 6))
	r := atMostOnceRequest()
	r.TimeLeft = 30 * time.Second
	now := callRepeatedly(t, balancer, 0, r, 20, 100*time.Millisecond)
	return balancer, callRepeatedly(t, balancer, now, r, 300, 4*time.Second)
}

// shortRequest returns a request with less time left than the endpoints of slowService take.
func shortRequest() Request {
	r := atMostOnceRequest()
	r.TimeLeft = time.Second
	return r
}

// Requests with short deadlines must reach endpoints that have been slow and have recovered. They were rejected as DeadlineTooShort until the
// tables' counts had decayed, minutes later, since none was sent that could have shown it.
func TestSelect_SlowEndpointsHaveRecovered_ShortDeadlinesServedAgain(t *testing.T) {
	balancer, now := slowService(t)
	began := now
	served := 0
	for ; served < 10 && now < began+30*time.Second; now += 100 * time.Millisecond {
		if d := balancer.Select(now, shortRequest()); d.Endpoint == nil {
			continue
		}
		call(t, balancer, now, shortRequest(), Success, 5*time.Millisecond)
		served++
	}
	if took := now - began; served < 10 || took > 5*time.Second {
		t.Errorf("%d requests were served in %v, want 10 within 5 s", served, took)
	}
}

func TestSelect_EndpointsStaySlow_OneShortDeadlineSentASecond(t *testing.T) {
	balancer, now := slowService(t)
	r := shortRequest()
	sent := 0
	for end := now + 20*time.Second; now < end; now += 100 * time.Millisecond {
		d := balancer.Select(now, r)
		if d.Endpoint == nil {
			continue
		}
		sent++
		balancer.Sent(now, &d.Attempt)
		balancer.Done(now+r.TimeLeft, &d.Attempt, Outcome{Kind: TimedOut, Elapsed: r.TimeLeft})
		now += r.TimeLeft
	}
	if sent == 0 || sent > 20 {
		t.Errorf("%d requests were sent in 20 s, want some, at most one a second", sent)
	}
}

func TestSelect_OtherCallsAreAnswered_ShortDeadlineNotSent(t *testing.T) {
	balancer, now := slowService(t)
	if d := balancer.Select(now, shortRequest()); d.Rejection.Kind != DeadlineTooShort {
		t.Errorf("decision %+v right after an answer, want DeadlineTooShort", d)
	}
}

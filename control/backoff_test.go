package control

import (
	"testing"
	"time"
)

// A delivery ends the backoff after refusals: refused probes during an outage must not delay queued messages once the destination has
// answered one.
func TestBackoff_Delivery_EndsIt(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(20, 100*ms)
	harness.step(harness.arrive(1, 2), harness.arrive(2, 2))
	for i := range 4 {
		if i > 0 {
			harness.now += time.Second
			testedRoute := harness.sender.destinations[0].routes[0]
			testedRoute.tokens, testedRoute.retryAt = 2, 0
		}
		harness.step(Event{Kind: Woken})
		for _, m := range harness.sender.endpoints[1].inFlight {
			harness.step(outcome(m.id, m.attempts-1, 1, NoConnection))
			break
		}
	}
	harness.sender.recordSuccess(harness.sender.destinations[0].routes[0])
	if testedRoute := harness.sender.destinations[0].routes[0]; testedRoute.retryAt > harness.now {
		t.Errorf("route is %s and in backoff for another %v, want no backoff after a delivery", healthText[testedRoute.health], testedRoute.retryAt-harness.now)
	}
}

// The pause before the next attempt after a refusal is learnt from whether such attempts are accepted. It grows if refused calls use up
// the limit, or if many other senders retry.
func TestRetryGap_RetriesLetInOrRefused_IsLearnt(t *testing.T) {
	next := func(result Result) time.Duration {
		var eps []Endpoint
		for i := range 60 {
			eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
		}
		harness := newHarness(t, settings(), eps...)
		var sum time.Duration
		for d := range 60 {
			ev := harness.arrive(uint64(d+1), 2)
			ev.Destination = d
			harness.step(ev)
			harness.step(outcome(ev.ID, 0, uint32(d+1), Throttled))
			start := harness.now
			for harness.now < start+15*time.Second && len(actionsOf(harness.wait(25*ms), Send)) == 0 {
			}
			if d >= 40 {
				sum += harness.now - start
			}
			harness.step(outcome(ev.ID, 1, uint32(d+1), result), Event{Kind: Withdrawn, ID: ev.ID})
		}
		return sum / 20
	}
	in, out := next(Delivered), next(Throttled)
	if in > 1500*ms || out < 2*in {
		t.Errorf("next attempt after %v if retries are accepted, %v if refused; want at most 1.5 s, and twice as long", in, out)
	}
}

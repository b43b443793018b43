package control

import (
	"testing"
	"time"
)

// A delivery ends the backoff after refusals: probes that were refused during an outage must not hold back what is due
// once the destination has answered one.
func TestBackoff_Delivery_EndsIt(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1})
	r.deliver(20, 100*ms)
	r.step(r.arrive(1, 2), r.arrive(2, 2))
	for i := range 4 {
		if i > 0 {
			r.now += time.Second
			d := r.sender.destinations[0].routes[0]
			d.tokens, d.retryAt = 2, 0
		}
		r.step(Event{Kind: Woken})
		for _, m := range r.sender.endpoints[1].inFlight {
			r.step(outcome(m.id, m.attempts-1, 1, NoConnection))
			break
		}
	}
	r.sender.recordSuccess(r.sender.destinations[0].routes[0])
	if d := r.sender.destinations[0].routes[0]; d.retryAt > r.now {
		t.Errorf("%s, and nothing may go for %v", healthText[d.health], d.retryAt-r.now)
	}
}

// How soon a message goes again after a refusal is learnt from whether such attempts are let in: where refused calls
// use up the limit, or many others retry, it takes longer.
func TestRetryGap_RetriesLetInOrRefused_IsLearnt(t *testing.T) {
	next := func(result Result) time.Duration {
		var eps []Endpoint
		for i := range 60 {
			eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
		}
		r := newHarness(t, settings(), eps...)
		var sum time.Duration
		for d := range 60 {
			ev := r.arrive(uint64(d+1), 2)
			ev.Destination = d
			r.step(ev)
			r.step(outcome(ev.ID, 0, uint32(d+1), Throttled))
			start := r.now
			for r.now < start+15*time.Second && len(actionsOf(r.wait(25*ms), Send)) == 0 {
			}
			if d >= 40 {
				sum += r.now - start
			}
			r.step(outcome(ev.ID, 1, uint32(d+1), result), Event{Kind: Withdrawn, ID: ev.ID})
		}
		return sum / 20
	}
	in, out := next(Delivered), next(Throttled)
	if in > 1500*ms || out < 2*in {
		t.Errorf("the next try comes after %v where such are let in, %v where they are refused", in, out)
	}
}

package control

import (
	"testing"
	"time"
)

// A delivery long after the last failure means that the destination has been back for a while. The slow start is counted from half way
// between the two.
func TestSlowStart_LateDelivery_CountsFromHalfWay(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(20, 300*ms)
	testedRoute := harness.sender.destinationOrder[0].routes[0]
	harness.sender.restrictToProbes(testedRoute, ejected)
	failed := harness.sender.now
	harness.now += 8 * time.Second
	harness.step(Event{Kind: Woken})
	harness.sender.recordSuccess(testedRoute)
	if ago := harness.sender.now - testedRoute.healthSince; testedRoute.health != recovering || ago != (harness.sender.now-failed)/2 {
		t.Errorf("route is %s since %v, want it recovering since half of %v", healthText[testedRoute.health], ago, harness.sender.now-failed)
	}
}

// An answer that can't be parsed is no evidence against the endpoint: it is up, and took its usual time.
func TestMalformedAnswers_InARow_DoNotEject(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(5, 100*ms)
	for i := range uint64(4) {
		harness.step(harness.arrive(i, 0))
		harness.now += 100 * ms
		acts := harness.step(outcome(i, 0, 1, Malformed))
		if got := actionsOf(acts, Send); len(got) != 1 || got[0].ID != i {
			t.Fatalf("after %d malformed answers: sent %v, want the message again", i+1, got)
		}
		harness.now += 100 * ms
		harness.step(outcome(i, 1, 1, Delivered))
	}
	harness.step(harness.arrive(9, 2))
	if harness.step(outcome(9, 0, 1, Malformed)); len(actionsOf(harness.out, Fail)) != 1 {
		t.Error("an unsafe message with a malformed answer did not fail, though it may have run")
	}
}

// Single connections are reset even if nothing is wrong with the destination. That does not eject it, even if it has just returned. An
// error from a destination that has just returned does.
func TestResets_FewInARow_DoNotEject(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(5, 100*ms)
	testedRoute := harness.sender.endpoints[1].route
	for i, c := range []struct {
		health health
		res    Result
		want   health
	}{{healthy, Reset, healthy}, {healthy, Reset, healthy}, {healthy, Reset, healthy}, {healthy, Delivered, healthy},
		{recovering, Reset, recovering}, {recovering, Errored, ejected}} {
		if testedRoute.health != c.health {
			harness.sender.setHealth(testedRoute, c.health)
		}
		id := uint64(i)
		m := &message{id: id, class: &harness.sender.settings.Classes[1], destination: testedRoute.destination, sentAt: harness.now}
		harness.now += 50 * ms
		harness.sender.now = harness.now
		if harness.sender.recordOutcome(m, harness.sender.endpoints[1], &Event{Result: c.res}); testedRoute.health != c.want {
			t.Errorf("after outcome %d, %v: health %v, want %v", i, c.res, testedRoute.health, c.want)
		}
	}
}

// A limit that is used up causes consecutive refusals. That is not an outage, and must not lead to a slow start.
func TestRefusals_LimitUsedUp_DoNotEject(t *testing.T) {
	for share, want := range map[float64]health{0: healthy, 1: ejected} {
		harness := newHarness(t, settings(), Endpoint{ID: 1})
		harness.deliver(5, 100*ms)
		harness.wait(4 * time.Second)
		for id := uint64(1); id < 40; id++ {
			for _, a := range actionsOf(append(harness.step(harness.arrive(id, 2)), harness.wait(time.Second)...), Send) {
				ev := outcome(a.ID, harness.sender.messages[a.ID].attempts-1, 1, Throttled)
				ev.Reported, ev.Remaining, ev.Limit = true, share, 4
				harness.step(ev)
			}
		}
		if got := harness.sender.endpoints[1].route.health; got != want {
			t.Errorf("refused for 40 s with a share of %v remaining: route is %s, want %s", share, healthText[got], healthText[want])
		}
	}
}

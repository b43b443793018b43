package control

import (
	"testing"
	"time"
)

// No effect may happen twice: an unsafe message that may have run fails; one that never ran is sent again.
func TestUnsafeMessage_MayHaveRun_IsNotRetried(t *testing.T) {
	for _, res := range []Result{Errored, Reset, TimedOut, Unknown, Result(77)} {
		harness := newHarness(t, settings(), Endpoint{ID: 1})
		harness.step(harness.arrive(1, 2))
		acts := append(harness.step(outcome(1, 0, 1, res)), harness.wait(3*time.Second)...)
		if len(actionsOf(acts, Fail)) != 1 || len(actionsOf(acts, Send))+len(actionsOf(acts, Refuse)) != 0 {
			t.Errorf("result %d: actions %v, want only one Fail", res, acts)
		}
	}
	for _, res := range []Result{Throttled, NoConnection, NotProcessed} {
		harness := newHarness(t, settings(), Endpoint{ID: 1})
		harness.step(harness.arrive(1, 2))
		harness.now += time.Second
		acts := append(harness.step(outcome(1, 0, 1, res)), harness.wait(12*time.Second)...)
		if len(actionsOf(acts, Send)) != 1 || len(actionsOf(acts, Fail)) != 0 {
			t.Errorf("result %d: actions %v, want one Send and no Fail", res, acts)
		}
	}
}

// A keyed message that may have run is sent again only to its group, and within its window.
func TestKeyedMessage_MayHaveRun_StaysInGroupAndWindow(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1, Zone: 0}, Endpoint{ID: 2, Zone: 1})
	harness.deliver(20, 100*ms)
	first := actionsOf(harness.step(harness.arrive(1, 1)), Send)[0].Endpoint
	acts := harness.step(outcome(1, 0, first, Errored))
	acts = append(acts, harness.wait(6*time.Second)...)
	sends := actionsOf(acts, Send)
	for _, a := range sends {
		if a.Endpoint != first {
			t.Errorf("retry outside its group: %v", a)
		}
	}
	if len(sends) != 1 {
		t.Fatalf("retries: %v, want one", sends)
	}
	acts = append(harness.step(outcome(1, 1, first, Errored)), harness.wait(6*time.Second)...)
	if len(actionsOf(acts, Send)) != 0 || len(actionsOf(acts, Fail)) != 1 || len(actionsOf(acts, Refuse)) != 0 {
		t.Errorf("after its window: %v, want only one Fail", acts)
	}
}

// A keyed message stays in its group after a restart too, even if the endpoint of the first attempt has left the list, so that its zone
// is not known, and joins the list again later.
func TestKeyedMessage_AfterRestart_StaysInGroup(t *testing.T) {
	for _, c := range []struct {
		class int
		sends int
	}{{0, 1}, {1, 0}, {2, 0}, {3, 1}} {
		harness := newHarness(t, settings(), Endpoint{ID: 1, Zone: 0}, Endpoint{ID: 2, Zone: 1})
		ev := harness.arrive(1, c.class)
		ev.Attempt, ev.MayHaveRun, ev.RanAt, ev.Endpoint = 1, true, harness.now-100*ms, 9
		acts := append(harness.step(ev), harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 9, Zone: 0}}})...)
		if acts = append(acts, harness.wait(500*ms)...); len(actionsOf(acts, Send)) != c.sends {
			t.Errorf("class %d: sent %v, want %d attempts", c.class, actionsOf(acts, Send), c.sends)
		}
	}
}

// A wait applies to the whole destination, or to a single route if the destination's endpoints are separate routes.
func TestRoute_RetryAfter_GetsNothing(t *testing.T) {
	for kind, want := range map[int]int{0: 0, 1: 1} {
		harness := newHarness(t, settings(), Endpoint{ID: 1, Kind: kind}, Endpoint{ID: 2, Kind: kind})
		to := actionsOf(harness.step(harness.arrive(1, 2)), Send)[0].Endpoint
		ev := outcome(1, 0, to, Throttled)
		ev.RetryAfter = time.Second
		acts := append(harness.step(ev), harness.wait(975*ms)...)
		if got := actionsOf(acts, Send); len(got) != want || want == 1 && got[0].Endpoint == to {
			t.Errorf("kind %d: sent during the wait: %v, want nothing on the route that asked for it", kind, got)
		}
	}
}

// Messages with the same key keep their order, and wait after an attempt that may still be running.
func TestOrderedKey_SeveralMessages_GoOneAtATime(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	evs := []Event{harness.arrive(1, 3), harness.arrive(2, 3), harness.arrive(3, 3)}
	for i := range evs {
		evs[i].Key = 9
	}
	if got := actionsOf(harness.step(evs...), Send); len(got) != 1 || got[0].ID != 1 {
		t.Fatalf("sent at first: %v, want message 1", got)
	}
	harness.now += 100 * ms
	if got := actionsOf(harness.step(outcome(1, 0, 1, Delivered)), Send); len(got) != 1 || got[0].ID != 2 {
		t.Fatalf("sent after the first delivery: %v, want message 2", got)
	}
	harness.now += 100 * ms
	acts := harness.step(Event{Kind: Withdrawn, ID: 2})
	if len(actionsOf(acts, Cancel)) != 1 || len(actionsOf(acts, Send)) != 0 {
		t.Fatalf("withdrawn with an attempt in flight: %v, want only a Cancel", acts)
	}
	acts = harness.step(outcome(2, 0, 1, Cancelled))
	acts = append(acts, harness.wait(975*ms)...)
	if len(actionsOf(acts, Send)) != 0 {
		t.Errorf("sent within InDoubtDelay: %v", acts)
	}
	if acts = harness.wait(100 * ms); len(actionsOf(acts, Send)) != 1 {
		t.Errorf("after InDoubtDelay: %v, want one Send", acts)
	}
}

// If slots are short, a message that needs a slot for less time is sent first. That must hold even if a destination has just slowed down
// and no answer shows it yet.
func TestDispatch_ShortOfSlots_PrefersValueForSlotTime(t *testing.T) {
	set := settings()
	set.Slots = 3
	harness := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	harness.deliver(8, 200*ms)
	to := func(id uint64, dest int) Event {
		ev := harness.arrive(id, 2)
		ev.Destination = dest
		return ev
	}
	for id := range uint64(8) {
		sent := actionsOf(harness.step(to(100+id, 1)), Send)
		harness.now += 200 * ms
		harness.step(outcome(sent[0].ID, 0, 2, Delivered))
		harness.now += 200 * ms
	}
	harness.step(to(1, 0), to(2, 1))
	harness.now += ms
	harness.step(to(5, 1)) // no slot is free
	harness.now += 100 * ms
	harness.step(to(3, 0), to(4, 1))
	harness.wait(700 * ms)
	sent := actionsOf(harness.step(outcome(5, 0, 2, Delivered)), Send)
	if len(sent) != 1 || sent[0].ID != 4 {
		t.Errorf("the free slot went to %v, want message 4, as the call to the other destination is far older than usual", sent)
	}
}

// Senders that know no call times yet don't all start with the same endpoint.
func TestSelection_NothingKnown_SendersSpread(t *testing.T) {
	first := map[uint32]int{}
	for seed := range uint64(40) {
		s, err := New(settings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		acts := s.Step(time.Hour, []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}, {ID: 2}, {ID: 3}}},
			{Kind: Arrived, ID: 1, Class: 2, Deadline: time.Hour + 20*time.Second}}, nil)
		first[actionsOf(acts, Send)[0].Endpoint]++
	}
	if min(first[1], first[2], first[3]) < 5 {
		t.Errorf("first calls of 40 senders, by endpoint: %v; want at least 5 each", first)
	}
}

// The plan chooses the endpoint and time-out of a safe message. Without retry budget, calls are not cut off. An unsafe message has one
// call until its deadline. A keyed message is restarted only while it may be sent again.
func TestSend_PlanDecidesEndpointAndTimeout(t *testing.T) {
	for _, test := range []struct {
		name     string
		class    int
		budget   float64
		restarts bool
	}{{"safe", 0, 5, true}, {"safe beyond the budget", 0, 0.5, false}, {"unsafe", 2, 5, false}, {"keyed", 1, 5, true}} {
		harness := newHarness(t, settings(), Endpoint{ID: 1}, Endpoint{ID: 2})
		upperBounds := harness.sender.bounds
		harness.sender.retryTimes = [2]float64{100, 100} // retries took the expected time
		harness.sender.retryBudget = test.budget
		fast, slow := upperBounds[10], upperBounds[len(upperBounds)-2]
		harness.sender.endpoints[1].own = *tableOf(upperBounds, map[float64]float64{slow: 100})
		harness.sender.endpoints[2].own = *tableOf(upperBounds, map[float64]float64{fast: 90, slow: 10})
		harness.sender.endpoints[1].own.decayedAt, harness.sender.endpoints[2].own.decayedAt = harness.now, harness.now
		sent := actionsOf(harness.step(harness.arrive(1, test.class)), Send)
		want := settings().Classes[test.class].Deadline
		if test.restarts {
			want = toDuration(fast)
		}
		if len(sent) != 1 || sent[0].Endpoint != 2 || sent[0].Duration != want {
			t.Errorf("%s: sent %v, want endpoint 2 with time-out %v", test.name, sent, want)
			continue
		}
		if test.restarts {
			harness.now += want
			if retry := actionsOf(harness.step(outcome(1, 0, 2, TimedOut)), Send); len(retry) != 1 {
				t.Errorf("%s: sent %v after the plan's time-out, want one retry", test.name, retry)
			}
		}
	}
}

// A keyed message must not be cut off if its window leaves no room for the retry: it would only fail.
func TestKeyedMessage_EndOfWindow_RunsOn(t *testing.T) {
	for memory, cut := range map[time.Duration]bool{4 * time.Second: true, 400 * ms: false} {
		set := settings()
		set.Classes[1].DedupWindow = memory
		harness := newHarness(t, set, Endpoint{ID: 1})
		upperBounds := harness.sender.bounds
		harness.sender.retryTimes = [2]float64{100, 100}
		harness.sender.endpoints[1].own = *tableOf(upperBounds, map[float64]float64{upperBounds[15]: 90, upperBounds[len(upperBounds)-2]: 10})
		harness.sender.endpoints[1].own.decayedAt = harness.now
		sent := actionsOf(harness.step(harness.arrive(1, 1)), Send)
		if len(sent) != 1 || (sent[0].Duration == toDuration(upperBounds[15])) != cut {
			t.Errorf("window %v: sent %v, want the plan's time-out: %v", memory, sent, cut)
		}
	}
}

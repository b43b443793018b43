package control

import (
	"math/rand"
	"testing"
	"time"
)

// A recovering route is not pushed over, whatever is queued meanwhile.
func TestRecoveringRoute_QueuedMessages_ArePaced(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1})
	harness.deliver(20, 300*ms)
	sends := map[uint64]int{}
	answer := func(acts []Action, res Result) (n int) {
		for len(acts) > 0 {
			a := acts[0]
			acts = acts[1:]
			if a.Kind == Send {
				n++
				acts = append(acts, harness.step(outcome(a.ID, sends[a.ID], 1, res))...)
				sends[a.ID]++
			}
		}
		return n
	}
	for id := range uint64(20) { // it refuses connections for ten seconds, while two messages a second arrive
		answer(append(harness.step(harness.arrive(id+1, 2)), harness.wait(500*ms)...), NoConnection)
	}
	if d := harness.sender.destinationOrder[0].routes[0]; d.health != ejected {
		t.Fatalf("health %v", d.health)
	}
	sent := 0
	for range 160 { // four seconds after it is back
		sent += answer(harness.wait(25*ms), Delivered)
	}
	// Its pace was 2/s; a fifth of that is back, half after four seconds: the multiple of 2 bears 5.7 calls.
	if sent < 1 || sent > 5 {
		t.Errorf("%d calls in the first four seconds", sent)
	}
}

// At a route ejected by refusals alone each refused probe halves the pace of probes: the probes of many
// senders together would keep a limit used up. Failed connects don't, they use up none.
func TestEjectedRoute_RefusedProbes_SlowDown(t *testing.T) {
	countProbes := func(res Result) (early, late int) {
		set := settings()
		set.MaxAttempts = 1000
		harness := newHarness(t, set, Endpoint{ID: 1})
		harness.deliver(20, 100*ms)
		start, attempts := harness.now, map[uint64]int{}
		for id := uint64(1); harness.now < start+120*time.Second; id++ {
			for acts := append(harness.step(harness.arrive(id, 2)), harness.wait(500*ms)...); len(acts) > 0; acts = acts[1:] {
				if a := acts[0]; a.Kind == Send {
					acts = append(acts, harness.step(outcome(a.ID, attempts[a.ID], 1, res))...)
					attempts[a.ID]++
					if harness.now < start+40*time.Second {
						early++
					} else if harness.now > start+80*time.Second {
						late++
					}
				}
			}
		}
		return early, late
	}
	if early, late := countProbes(Throttled); late == 0 || 4*late > early {
		t.Errorf("refused: %d tries in the first 40 s, %d in the last", early, late)
	}
	// Nor do failures make all messages look hopeless once they are most of what the table holds.
	if early, late := countProbes(NoConnection); 2*late < early {
		t.Errorf("failed connects: %d tries in the first 40 s, %d in the last", early, late)
	}
}

// More may be asked of a destination than it takes when it is healthy: where it reports its limit, the probes and the
// slow start of a sender go by its part of that, not by what is asked.
func TestEjectedRoute_ReportedLimit_BoundsProbes(t *testing.T) {
	countProbes := func(report bool) (n int) {
		set := settings()
		set.MaxAttempts = 1000
		harness := newHarness(t, set, Endpoint{ID: 1})
		attempts := map[uint64]int{}
		for id := uint64(1); id < 400; id++ { // ten messages a second, of which it takes one
			for acts := append(harness.step(harness.arrive(id, 2)), harness.wait(100*ms)...); len(acts) > 0; acts = acts[1:] {
				a := acts[0]
				if a.Kind != Send {
					continue
				}
				ev := outcome(a.ID, attempts[a.ID], 1, Throttled)
				if attempts[a.ID]++; id <= 100 && id%10 == 0 {
					ev.Result, ev.Final = Delivered, true
				} else if id > 100 {
					ev.Result = NoConnection
					if id > 150 {
						n++
					}
				}
				ev.Reported, ev.Remaining, ev.Limit = report, 0.1, 2
				acts = append(acts, harness.step(ev)...)
			}
		}
		return n
	}
	set := settings()
	limit := 25*2/2*set.OverloadMultiple*set.SlowStartShare + 2
	if reported, not := countProbes(true), countProbes(false); float64(reported) > limit || reported == 0 || not < 2*reported {
		t.Errorf("%d probes in 25 s where the limit is reported, %d where not; want %.0f at most and far more", reported, not, limit)
	}
}

// What a call carries beside its first message weighs little: at a recovering route, with a pace of few calls,
// what is queued goes along with them.
func TestRecoveringRoute_SeveralMessages_ShareCalls(t *testing.T) {
	set := settings()
	set.Peers, set.Kinds[1].PerCall = 80, 10
	harness := newHarness(t, set, Endpoint{ID: 1, Kind: 1})
	harness.sender.endpoints[1].route.health, harness.sender.endpoints[1].route.healthSince, harness.sender.endpoints[1].route.reportedLimit = recovering, harness.now, 40
	harness.sender.endpoints[1].route.refilledAt = harness.now
	var evs []Event
	for id := uint64(1); id <= 8; id++ {
		evs = append(evs, harness.arrive(id, 0))
	}
	harness.sender.endpoints[1].route.tokens = 1
	if got := len(actionsOf(harness.step(evs...), Send)); got != 8 {
		t.Errorf("%d of 8 messages held went with the call that the pace allows", got)
	}
	harness.step(harness.arrive(9, 0))
	if got := actionsOf(harness.wait(500*ms), Send); len(got) > 0 {
		t.Errorf("the next call went within 0.5 s, as if the 7 messages beside the first weighed nothing: %v", got)
	}
}

// A destination that was shut refuses all, which tells nothing of a limit that the list names: when it opens again its pace
// goes by an equal part of that, not what little was let in meanwhile. Without the weight it has to be learnt again.
func TestWeight_RouteShut_PaceRecovers(t *testing.T) {
	for _, weight := range []float64{0, 16} {
		set := settings()
		set.Slots = 40
		harness := newHarness(t, set, Endpoint{ID: 1, Weight: weight})
		id := uint64(0)
		for harness.now < time.Hour+20*time.Second { // two a second, all refused for ten seconds
			id++
			ev := harness.arrive(id, 1)
			res := Throttled
			if harness.now > time.Hour+10*time.Second {
				res = Delivered
			}
			sent := actionsOf(harness.step(ev), Send)
			sent = append(sent, actionsOf(harness.wait(500*ms), Send)...)
			for _, a := range sent {
				harness.step(outcome(a.ID, harness.sender.messages[a.ID].attempts-1, 1, res))
			}
		}
		limit := harness.sender.endpoints[1].route.rateLimit
		if weight > 0 && (limit < weight/4 || limit > weight) {
			t.Errorf("with a weight of %v the pace is %.2f calls/s, want half of an equal part at least", weight, limit)
		}
		if weight == 0 && limit > 3 {
			t.Errorf("without a weight the pace is %.2f calls/s: nothing was learnt, and the test shows nothing", limit)
		}
	}
}

// A report tells more than the list, whose weight is known before it and does not come back with each change.
func TestReport_ListedWeight_IsOverridden(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1, Weight: 16})
	harness.step(harness.arrive(1, 1))
	ev := outcome(1, 0, 1, Delivered)
	ev.Reported, ev.Remaining, ev.Limit = true, 0.4, 6
	harness.step(ev)
	harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, Weight: 16}}})
	if d := harness.sender.endpoints[1].route; d.reportedLimit != 6 || d.reportedRemaining != 0.4 {
		t.Errorf("limit %v and share %v, want what was reported", d.reportedLimit, d.reportedRemaining)
	}
}

// However many senders share a destination, what all of them together send it within OverloadWindow of an
// outage that each has seen stays under the multiple of what is back, whether it failed or refused its calls.
func TestRecoveringRoute_ManySenders_IsNotPushedOver(t *testing.T) {
	for _, result := range []Result{NoConnection, Throttled, Errored} {
		for _, peers := range []int{2, 20, 400} {
			set, rng := settings(), rand.New(rand.NewSource(int64(peers)))
			set.Peers = peers
			const rate = 40 // messages a second, from all of them
			var harnesses []*harness
			for i := range peers {
				harness := newHarness(t, set, Endpoint{ID: 1})
				harness.sender.rngState = uint64(i) * 977
				harnesses = append(harnesses, harness)
			}
			attempts, seen := map[uint64]int{}, make([]bool, peers)
			id, sent, down := uint64(0), 0, 10*time.Second
			for at := time.Duration(0); at < 24*time.Second; at += 25 * ms {
				arrivals := map[int][]Event{}
				for range rate / 40 {
					id++
					i := rng.Intn(peers)
					ev := harnesses[i].arrive(id, 2)
					ev.Deadline = time.Hour + at + 20*time.Second
					arrivals[i] = append(arrivals[i], ev)
				}
				for i, harness := range harnesses {
					harness.now = time.Hour + at
					evs := append(arrivals[i], Event{Kind: Woken})
					for acts := actionsOf(harness.step(evs...), Send); len(acts) > 0; {
						a, end := acts[0], down+12*time.Second
						out := outcome(a.ID, attempts[a.ID], 1, Delivered)
						if at > down && at < end {
							out.Result, out.Final, seen[i] = result, false, true
						} else if at >= end && at < end+set.OverloadWindow && seen[i] {
							sent++
						}
						attempts[a.ID]++
						acts = append(acts[1:], actionsOf(harness.step(out), Send)...)
					}
				}
			}
			back := set.SlowStartShare + (1-set.SlowStartShare)*set.OverloadWindow.Seconds()/set.SlowStart.Seconds()
			if limit := set.OverloadMultiple * back * rate * set.OverloadWindow.Seconds(); float64(sent) > limit || sent == 0 {
				t.Errorf("result %d, %d senders: %d calls right after its return, %.0f at most", result, peers, sent, limit)
			}
		}
	}
}

package control

import (
	"math/rand"
	"testing"
	"time"
)

// A recovering route is not overloaded, however many messages have been queued meanwhile.
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
	if testedRoute := harness.sender.destinationOrder[0].routes[0]; testedRoute.health != ejected {
		t.Fatalf("health %v after ten seconds of failed connects, want ejected", testedRoute.health)
	}
	sent := 0
	for range 160 { // four seconds after it is back
		sent += answer(harness.wait(25*ms), Delivered)
	}
	// The rate was 2/s. A fifth of it is back, half after four seconds: with the multiple of 2, 5.7 calls don't overload the route.
	if sent < 1 || sent > 5 {
		t.Errorf("%d calls in the first four seconds, want 1 to 5", sent)
	}
}

// If a route was ejected because of refusals alone, each refused probe halves the rate of probes, since the probes of many senders could
// keep a limit used up. Failed connects use up no limit and don't reduce the rate.
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
		t.Errorf("refused: %d probes in the first 40 s, %d in the last, want at most a quarter, but some", early, late)
	}
	// Messages are not given up for lack of time when most calls in the table are failures.
	if early, late := countProbes(NoConnection); 2*late < early {
		t.Errorf("failed connects: %d probes in the first 40 s, %d in the last, want at least half", early, late)
	}
}

// The demand may exceed what a destination accepts even when it is healthy. If the destination reports its limit, a sender's probes and
// slow start are based on its share of the limit, not on the demand.
func TestEjectedRoute_ReportedLimit_BoundsProbes(t *testing.T) {
	countProbes := func(report bool) (n int) {
		set := settings()
		set.MaxAttempts = 1000
		harness := newHarness(t, set, Endpoint{ID: 1})
		attempts := map[uint64]int{}
		for id := uint64(1); id < 400; id++ { // ten messages a second, of which the destination accepts one
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
		t.Errorf("%d probes in 25 s with a reported limit, %d without; want at most %.0f, and at least twice as many", reported, not, limit)
	}
}

// Further messages in a call cost little. At a recovering route that allows few calls, queued messages share a call.
func TestRecoveringRoute_SeveralMessages_ShareCalls(t *testing.T) {
	set := settings()
	set.Peers, set.Kinds[1].MaxMessagesPerCall = 80, 10
	harness := newHarness(t, set, Endpoint{ID: 1, Kind: 1})
	harness.sender.endpoints[1].route.health, harness.sender.endpoints[1].route.healthSince, harness.sender.endpoints[1].route.reportedLimit = recovering, harness.now, 40
	harness.sender.endpoints[1].route.refilledAt = harness.now
	var evs []Event
	for id := uint64(1); id <= 8; id++ {
		evs = append(evs, harness.arrive(id, 0))
	}
	harness.sender.endpoints[1].route.tokens = 1
	if got := len(actionsOf(harness.step(evs...), Send)); got != 8 {
		t.Errorf("%d of 8 queued messages were sent in the one call that the rate allows", got)
	}
	harness.step(harness.arrive(9, 0))
	if got := actionsOf(harness.wait(500*ms), Send); len(got) > 0 {
		t.Errorf("the next call started within 0.5 s, as if the 7 further messages cost nothing: %v", got)
	}
}

// A destination that is out of service refuses all calls, which says nothing about a listed limit. When it is back, the rate starts from
// an equal share of that limit, not from the few deliveries meanwhile. Without a listed weight the rate has to be learnt again.
func TestWeight_RouteShut_PaceRecovers(t *testing.T) {
	for _, weight := range []float64{0, 16} {
		set := settings()
		set.Slots = 40
		harness := newHarness(t, set, Endpoint{ID: 1, ListedLimit: weight})
		id := uint64(0)
		for harness.now < time.Hour+20*time.Second { // two messages a second; all are refused for ten seconds
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
			t.Errorf("with weight %v the rate is %.2f calls/s, want at least half of an equal share, and at most the weight", weight, limit)
		}
		if weight == 0 && limit > 3 {
			t.Errorf("without a weight the rate is %.2f calls/s, want at most 3: otherwise the case with a weight proves nothing", limit)
		}
	}
}

// A report takes precedence over the listed weight, which must not return with each change of the list.
func TestReport_ListedWeight_IsOverridden(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1, ListedLimit: 16})
	harness.step(harness.arrive(1, 1))
	ev := outcome(1, 0, 1, Delivered)
	ev.Reported, ev.Remaining, ev.Limit = true, 0.4, 6
	harness.step(ev)
	harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, ListedLimit: 16}}})
	if testedRoute := harness.sender.endpoints[1].route; testedRoute.reportedLimit != 6 || testedRoute.reportedRemaining != 0.4 {
		t.Errorf("limit %v, remaining %v, want the reported 6 and 0.4", testedRoute.reportedLimit, testedRoute.reportedRemaining)
	}
}

// However many senders share a destination, the calls of all senders that have seen its outage, within OverloadWindow of its return, stay
// below the overload multiple of its returned capacity, whether the destination failed or refused calls during the outage.
func TestRecoveringRoute_ManySenders_IsNotPushedOver(t *testing.T) {
	for _, result := range []Result{NoConnection, Throttled, Errored} {
		for _, peers := range []int{2, 20, 400} {
			set, rng := settings(), rand.New(rand.NewSource(int64(peers)))
			set.Peers = peers
			const rate = 40 // messages a second, for all senders together
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
				t.Errorf("result %d, %d senders: %d calls right after the return, want 1 to %.0f", result, peers, sent, limit)
			}
		}
	}
}

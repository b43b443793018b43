package control

import (
	"testing"
	"time"
)

// An endpoint that is draining or removed gets no messages, even if some are queued. A complete list without an endpoint removes it.
func TestEndpoint_DrainingOrRemoved_GetsNothing(t *testing.T) {
	for _, ev := range []Event{
		{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Draining}}},
		{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Removed}}},
		{Kind: Listed, Complete: true},
	} {
		harness := newHarness(t, settings(), Endpoint{ID: 1})
		harness.deliver(5, 100*ms)
		acts := harness.step(ev, harness.arrive(1, 0), harness.arrive(2, 2))
		if acts = append(acts, harness.wait(3*time.Second)...); len(actionsOf(acts, Send)) != 0 {
			t.Errorf("after %+v: sent %v, want nothing", ev, actionsOf(acts, Send))
		}
	}
}

// A removed endpoint is deleted once no message to it can be open, but not before the end of a wait that its route asked for.
func TestEndpoint_Removed_IsForgottenInTime(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1, Kind: 1}, Endpoint{ID: 2, Kind: 1, Destination: 5})
	to := actionsOf(harness.step(harness.arrive(1, 2)), Send)[0].Endpoint
	throttled := outcome(1, 0, to, Throttled)
	throttled.RetryAfter = time.Minute
	harness.step(throttled)
	for range 3 {
		harness.step(Event{Kind: Listed, Complete: true})
		if len(harness.sender.endpoints) != 2 {
			t.Fatalf("%d endpoints are known after %v, want 2", len(harness.sender.endpoints), harness.now)
		}
		harness.now += 10 * time.Second
	}
	if harness.step(Event{Kind: Listed}); len(harness.sender.endpoints) != 1 || len(harness.sender.destinationOrder) != 1 || len(harness.sender.destinations) != 1 {
		t.Errorf("%d endpoints, %d destinations, want only the one whose wait is not over", len(harness.sender.endpoints), len(harness.sender.destinationOrder))
	}
	harness.now += time.Minute
	if harness.step(Event{Kind: Listed}); len(harness.sender.endpoints)+len(harness.sender.destinationOrder)+len(harness.sender.destinations)+len(harness.sender.idleEndpoints) != 0 {
		t.Errorf("%d endpoints and %d destinations are still known, want none", len(harness.sender.endpoints), len(harness.sender.destinationOrder))
	}
	if harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 3}}}, harness.arrive(2, 0)); len(actionsOf(harness.out, Send)) != 1 {
		t.Error("no message is sent to a new endpoint of a destination that was deleted")
	}
}

// A connection may open only after the destination has asked for a wait or is draining, so calls in flight are recalled.
func TestRecall_WaitOrDrain_RecallsCallsOnTheirWay(t *testing.T) {
	harness := newHarness(t, settings(), Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 5})
	elsewhere := harness.arrive(3, 0)
	elsewhere.Destination = 5
	harness.step(harness.arrive(1, 0), harness.arrive(2, 0), elsewhere)
	throttled := outcome(1, 0, 1, Throttled)
	if throttled.RetryAfter = time.Second; len(actionsOf(harness.out, Send)) != 3 {
		t.Fatalf("sent %v, want three attempts", harness.out)
	}
	if got := actionsOf(harness.step(throttled), Recall); len(got) != 1 || got[0].ID != 2 {
		t.Errorf("recalled %v, want message 2", got)
	}
	if got := actionsOf(harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 2, Destination: 5, State: Draining}}}), Recall); len(got) != 1 {
		t.Errorf("recalled %v, want message 3", got)
	}
}

// Eighty senders that restart with queued messages know no limits. They start at different times, each with one call, until an answer
// tells the limit.
func TestNewRoute_ManySenders_BeginOneByOne(t *testing.T) {
	busiest, calls, turns := 0, 0, map[time.Duration]int{}
	for i := range 80 {
		set := settings()
		set.Peers, set.Index = 80, i
		s, err := New(set, uint64(i)+5)
		if err != nil {
			t.Fatal(err)
		}
		evs := []Event{{Kind: Listed, Complete: true, Endpoints: []Endpoint{{ID: 1}}}}
		for id := uint64(1); id <= 4; id++ {
			evs = append(evs, Event{Kind: Arrived, ID: id, Deadline: time.Hour + 8*time.Second})
		}
		for now := time.Hour; now < time.Hour+time.Second; now += 10 * ms {
			if n := len(actionsOf(s.Step(now, evs, nil), Send)); n > 0 {
				turns[now]++
				calls += n
			}
			evs = []Event{{Kind: Woken}}
		}
	}
	for _, n := range turns {
		busiest = max(busiest, n)
	}
	if busiest > 10 || calls != 80 {
		t.Errorf("%d of 80 senders start in the same 10 ms, want at most 10; %d calls before any answer, want 80", busiest, calls)
	}
}

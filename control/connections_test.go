package control

import (
	"slices"
	"testing"
	"time"
)

// Connections are kept, as handshakes cost, but at a kind that has run short of them: there each is closed after its
// last call, so that those of many senders don't fill an endpoint that takes few.
func TestIdleConnections_ShortKind_AreClosed(t *testing.T) {
	set := settings()
	set.ConnIdle = 5 * time.Second
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.step(harness.arrive(1, 2), harness.arrive(2, 2))
	if acts := harness.step(outcome(1, 0, 1, Delivered), outcome(2, 0, 1, Delivered)); len(actionsOf(acts, Close)) != 0 {
		t.Errorf("closed where none was short: %v", acts)
	}
	harness.step(harness.arrive(3, 2))
	harness.step(outcome(3, 0, 1, NoConnection))
	sent := actionsOf(harness.wait(5*time.Second), Send)
	if len(sent) != 1 {
		t.Fatalf("after a failed connect: %v", sent)
	}
	if got := actionsOf(harness.step(outcome(3, 1, 1, Delivered)), Close); len(got) != 1 || got[0].Endpoint != 1 {
		t.Errorf("after the last call: %v, want one Close", got)
	}
	harness.wait(2 * set.ConnIdle) // what was idle at that time has closed by itself: there is room again
	harness.step(harness.arrive(4, 2))
	if got := actionsOf(harness.step(outcome(4, 0, 1, Delivered)), Close); len(got) != 0 {
		t.Errorf("two idle times after the failed connect: %v", got)
	}
}

// Where an endpoint takes few connections a failed connect is no outage: alone it does not eject a route,
// the message goes again after a moment, and idle connections of that kind are closed at once and from then on.
func TestFailedConnect_Alone_DoesNotEject(t *testing.T) {
	set := settings()
	set.ConnIdle = 15 * time.Second
	harness := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	harness.deliver(20, 100*ms) // keeps its connection to endpoint 1
	harness.wait(5 * time.Second)
	ev := harness.arrive(1, 2)
	ev.Destination = 1
	harness.step(ev)
	acts := harness.step(outcome(1, 0, 2, NoConnection))
	if got := actionsOf(acts, Close); len(actionsOf(acts, Send)) != 0 || !slices.ContainsFunc(got, func(a Action) bool { return a.Endpoint == 1 }) {
		t.Errorf("after a failed connect: %v, want the idle connection closed and a moment's rest", acts)
	}
	if d := harness.sender.destinations[1].routes[0]; d.health != healthy {
		t.Errorf("one failed connect: %s", healthText[d.health])
	}
	if got := actionsOf(harness.wait(toDuration(1.5*initialRetryGap)), Send); len(got) != 1 {
		t.Fatalf("after a moment: %v, want one further try", got)
	}
	if harness.step(outcome(1, 1, 2, NoConnection)); harness.sender.destinations[1].routes[0].health != ejected {
		t.Error("two failed connects in a row did not stop it")
	}
	// One that got no answer at all for long is no full table: where endpoints are separate routes, each would be taken by
	// hundreds of senders for a route that had failed but once, and pushed over at its return.
	harness = newHarness(t, set, Endpoint{ID: 1, Kind: 1}, Endpoint{ID: 2, Kind: 1})
	to := actionsOf(harness.step(harness.arrive(1, 2)), Send)[0].Endpoint
	harness.now += 1500 * ms
	if harness.step(outcome(1, 0, to, NoConnection)); harness.sender.endpoints[to].route.health != ejected {
		t.Error("a connect that hung did not stop its route")
	}
}

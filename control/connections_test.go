package control

import (
	"slices"
	"testing"
	"time"
)

// Connections are normally kept open, since handshakes cost time. If endpoints of a kind are short of connections, each is closed after
// its last call, so that many senders together don't fill an endpoint that accepts few.
func TestIdleConnections_ShortKind_AreClosed(t *testing.T) {
	set := settings()
	set.ConnIdle = 5 * time.Second
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.step(harness.arrive(1, 2), harness.arrive(2, 2))
	if acts := harness.step(outcome(1, 0, 1, Delivered), outcome(2, 0, 1, Delivered)); len(actionsOf(acts, Close)) != 0 {
		t.Errorf("connections closed without a shortage: %v", acts)
	}
	harness.step(harness.arrive(3, 2))
	harness.step(outcome(3, 0, 1, NoConnection))
	sent := actionsOf(harness.wait(5*time.Second), Send)
	if len(sent) != 1 {
		t.Fatalf("after a failed connect: sent %v, want one attempt", sent)
	}
	if got := actionsOf(harness.step(outcome(3, 1, 1, Delivered)), Close); len(got) != 1 || got[0].Endpoint != 1 {
		t.Errorf("after the last call following a failed connect: %v, want one Close of endpoint 1", got)
	}
	harness.wait(2 * set.ConnIdle) // connections that were idle then have timed out
	harness.step(harness.arrive(4, 2))
	if got := actionsOf(harness.step(outcome(4, 0, 1, Delivered)), Close); len(got) != 0 {
		t.Errorf("two idle times after the failed connect: %v, want no Close", got)
	}
}

// A single failed connect is not an outage, since an endpoint may accept few connections: the route is not ejected, the message is sent
// again after a pause, and idle connections to that kind are closed immediately and for some time after.
func TestFailedConnect_Alone_DoesNotEject(t *testing.T) {
	set := settings()
	set.ConnIdle = 15 * time.Second
	harness := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	harness.deliver(20, 100*ms) // leaves an idle connection to endpoint 1
	harness.wait(5 * time.Second)
	ev := harness.arrive(1, 2)
	ev.Destination = 1
	harness.step(ev)
	acts := harness.step(outcome(1, 0, 2, NoConnection))
	if got := actionsOf(acts, Close); len(actionsOf(acts, Send)) != 0 || !slices.ContainsFunc(got, func(a Action) bool { return a.Endpoint == 1 }) {
		t.Errorf("after a failed connect: %v, want only the idle connection closed", acts)
	}
	if testedRoute := harness.sender.destinations[1].routes[0]; testedRoute.health != healthy {
		t.Errorf("after one failed connect the route is %s, want it healthy", healthText[testedRoute.health])
	}
	if got := actionsOf(harness.wait(toDuration(1.5*initialRetryGap)), Send); len(got) != 1 {
		t.Fatalf("after the retry gap: sent %v, want one further attempt", got)
	}
	if harness.step(outcome(1, 1, 2, NoConnection)); harness.sender.destinations[1].routes[0].health != ejected {
		t.Error("two consecutive failed connects did not eject the route")
	}
	// A connect that hangs doesn't mean a full connection table. If endpoints are separate routes and it did not eject the route, each of
	// hundreds of senders would treat the route as one that failed only once, and together they would overload it at its return.
	harness = newHarness(t, set, Endpoint{ID: 1, Kind: 1}, Endpoint{ID: 2, Kind: 1})
	to := actionsOf(harness.step(harness.arrive(1, 2)), Send)[0].Endpoint
	harness.now += 1500 * ms
	if harness.step(outcome(1, 0, to, NoConnection)); harness.sender.endpoints[to].route.health != ejected {
		t.Error("a connect that hung did not eject its route")
	}
}

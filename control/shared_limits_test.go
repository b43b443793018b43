package control

import (
	"testing"
	"time"
)

// grantLease gives the sender a guaranteed share of all limits, and grants, until expiry; with keeps, the guaranteed share doesn't expire.
func (h *harness) grantLease(share float64, expiry time.Duration, keeps bool, grants ...Grant) {
	h.step(Event{Kind: SharedLimitsUpdated, Shared: &SharedLimits{GuaranteedShare: share, LeaseExpiry: expiry, KeepsGuaranteed: keeps, Grants: grants}})
}

// calls returns how many calls the sender starts within d, with plenty queued. Each is delivered after 10 ms with a report of limit.
func (h *harness) calls(d time.Duration, limit float64) (n int) {
	for end := h.now + d; h.now < end; h.now += 25 * ms {
		id := uint64(h.now/ms) + 1e9
		for _, a := range actionsOf(h.step(h.arrive(id, 0)), Send) {
			n++
			ev := outcome(a.ID, h.sender.messages[a.ID].attempts-1, a.Endpoint, Delivered)
			ev.Reported, ev.Limit, ev.Remaining = limit > 0, limit, 0.9
			h.now += 10 * ms
			h.step(ev)
			h.now -= 10 * ms
		}
	}
	return n
}

// A sender uses its granted share until its lease expires; after that only the guaranteed share, or nothing.
func TestLease_GrantedShare_IsSpentUntilExpiry(t *testing.T) {
	for _, c := range []struct {
		keeps                bool
		granted, afterExpiry float64 // calls a second
	}{{true, 12, 2}, {false, 12, 0}} {
		set := settings()
		set.Peers, set.Slots = 10, 200
		harness := newHarness(t, set, Endpoint{ID: 1})
		expiry := harness.now + 20*time.Second
		harness.grantLease(0.05, expiry, c.keeps, Grant{Endpoint: 1, ExtraShare: 0.25, Limit: 40})
		harness.calls(2*time.Second, 40)
		granted := float64(harness.calls(18*time.Second, 40)) / 18
		harness.calls(2*time.Second, 40)
		expired := float64(harness.calls(20*time.Second, 40)) / 20
		if granted < 0.85*c.granted || granted > 1.1*c.granted || expired > c.afterExpiry+0.2 || expired < 0.8*c.afterExpiry {
			t.Errorf("keeps guaranteed share %v: %.2f and then %.2f calls a second, want %v and %v", c.keeps, granted, expired, c.granted, c.afterExpiry)
		}
	}
}

// A limit reported to other senders counts if none has been reported to this sender recently.
func TestGrant_LimitReportedToOthers_CountsIfNewer(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(0.1, harness.now+time.Hour, false, Grant{Endpoint: 1, Limit: 20, LimitAge: time.Second})
	if n := harness.calls(10*time.Second, 0); n > 22 || n < 15 {
		t.Errorf("%d calls in 10 s, want 15 to 22: its share of the limit reported to others is 2 a second", n)
	}
	harness.calls(5*time.Second, 60)
	harness.grantLease(0.1, harness.now+time.Hour, false, Grant{Endpoint: 1, Limit: 20})
	if n := harness.calls(10*time.Second, 60); n < 50 {
		t.Errorf("%d calls in 10 s, want at least 50: its share of its own newer report is 6 a second", n)
	}
}

// The evidence of other senders ejects a route at a sender that has no newer evidence. The sender does not report it as its own
// observation, so that evidence can't confirm itself. A delivery at another sender lets the route recover, with a slow start.
func TestGrant_EvidenceOfOthers_EjectsAndReturns(t *testing.T) {
	set := settings()
	set.Peers = 10
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.deliver(3, 50*ms)
	testedRoute := harness.sender.endpoints[1].route
	expiry := harness.now + time.Hour
	harness.grantLease(0.1, expiry, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: 10 * time.Second})
	if testedRoute.health != healthy {
		t.Error("older evidence of other senders overrides its own delivery")
	}
	harness.now += 20 * time.Second
	harness.grantLease(0.1, expiry, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: time.Second})
	if testedRoute.health != ejected {
		t.Error("newer evidence of other senders is ignored")
	}
	for _, observed := range harness.sender.Observations(harness.now, nil) {
		if observed.Unhealthy || observed.Healthy {
			t.Errorf("it reports evidence of other senders as its own: %+v", observed)
		}
	}
	harness.grantLease(0.1, expiry, false, Grant{Endpoint: 1, Healthy: true, HealthAge: 100 * ms})
	if testedRoute.health != recovering || harness.now-testedRoute.healthSince != 100*ms {
		t.Errorf("after a delivery at another sender the route is %v since %v, want it recovering since 100 ms", healthText[testedRoute.health], harness.now-testedRoute.healthSince)
	}
	for i := range uint64(2000) { // its own calls fail: that is evidence
		harness.now += 25 * ms
		ev := Event{Kind: Woken}
		if i%40 == 0 {
			ev = harness.arrive(i+1, 0)
		}
		for _, a := range actionsOf(harness.step(ev), Send) {
			harness.step(outcome(a.ID, harness.sender.messages[a.ID].attempts-1, a.Endpoint, Errored))
		}
	}
	if observed := harness.sender.Observations(harness.now, nil); len(observed) != 1 || !observed[0].Unhealthy {
		t.Errorf("observations after its own failures: %+v, want one that is Unhealthy", observed)
	}
}

// If a route was ejected on the evidence of others, one sender probes it. The other senders probe much less, but don't stop completely.
func TestGrant_UnhealthyRoute_OneSenderProbes(t *testing.T) {
	probes := func(mayProbe bool) (n int) {
		set := settings()
		set.Peers, set.Slots = 10, 50
		harness := newHarness(t, set, Endpoint{ID: 1})
		harness.deliver(5, 50*ms)
		for i := range uint64(2000) {
			harness.now += 25 * ms
			harness.grantLease(0.1, harness.now+time.Second, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: 0, MayProbe: mayProbe, Limit: 100})
			if i%20 == 0 {
				harness.step(harness.arrive(100+i, 0))
			}
			for _, a := range actionsOf(harness.out, Send) {
				n++
				harness.step(outcome(a.ID, harness.sender.messages[a.ID].attempts-1, a.Endpoint, NoConnection))
			}
		}
		return n
	}
	one, others := probes(true), probes(false)
	if others == 0 || one < 3*others {
		t.Errorf("in 50 s the sender with MayProbe sent %d probes, another one %d; want some, and three times as many with MayProbe", one, others)
	}
}

// A wait that a route asked of another sender applies here too, for at most MaxRetryAfter.
func TestGrant_RetryAfterOfPeer_Binds(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 2 * time.Second
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(1, harness.now+time.Hour, false, Grant{Endpoint: 1, RetryAfter: time.Hour})
	if got := actionsOf(harness.step(harness.arrive(1, 0)), Send); len(got) != 0 {
		t.Error("a call was sent during a wait that the route asked of another sender")
	}
	if got := actionsOf(harness.wait(2500*ms), Send); len(got) != 1 {
		t.Errorf("%d calls after the wait, want 1", len(got))
	}
}

// An operator's bound that is set while limits are shared is split in the same way.
func TestMaxRate_SharedLimits_IsSplit(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(0.05, harness.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.25, Limit: 100})
	harness.calls(2*time.Second, 100)
	harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, MaxRate: 20}}})
	if n := harness.calls(20*time.Second, 100); n > 122 || n < 100 {
		t.Errorf("%d calls in 20 s, want 100 to 122: its share is 6 a second", n)
	}
}

// A destination leaves the list while it has grants, and returns with another endpoint id. It then has its guaranteed share and any new
// grants; grants for the old id apply to nothing.
func TestGrant_RemovedEndpoint_IsDiscarded(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	set.Kinds = []Kind{{MaxMessagesPerCall: 1, SeparateRoutes: true}}
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(0.05, harness.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.5, Limit: 100, Unhealthy: true, HealthAge: time.Minute})
	harness.calls(2*time.Second, 100)
	harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Removed}, {ID: 2}}})
	harness.grantLease(0.05, harness.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.5, Limit: 100}, Grant{Endpoint: 9, ExtraShare: 0.5})
	testedRoute := harness.sender.endpoints[2].route
	if testedRoute.extraShare != 0 || testedRoute.unhealthyAtPeers || testedRoute.reportedLimit != 0 {
		t.Errorf("the new route starts with %+v, want no extra share, evidence or limit", testedRoute)
	}
	harness.calls(2*time.Second, 100)
	if n := harness.calls(20*time.Second, 100); n > 105 || n < 80 {
		t.Errorf("%d calls in 20 s, want 80 to 105: its guaranteed share is 5 a second", n)
	}
}

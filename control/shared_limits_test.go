package control

import (
	"testing"
	"time"
)

// grantLease grants a sender what it may spend.
func (h *harness) grantLease(floor float64, until time.Duration, stays bool, rights ...Grant) {
	h.step(Event{Kind: SharedLimitsUpdated, Shared: &SharedLimits{GuaranteedShare: floor, LeaseExpiry: until, KeepsGuaranteed: stays, Grants: rights}})
}

// calls counts what a sender sends in a while with plenty queued, each call let in after 10 ms, at which limit is reported.
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

// A granted share is what is spent, until its lease expires; then the guaranteed share alone, or nothing.
func TestLease_GrantedShare_IsSpentUntilExpiry(t *testing.T) {
	for _, c := range []struct {
		stays      bool
		first, two float64 // calls a second
	}{{true, 12, 2}, {false, 12, 0}} {
		set := settings()
		set.Peers, set.Slots = 10, 200
		harness := newHarness(t, set, Endpoint{ID: 1})
		until := harness.now + 20*time.Second
		harness.grantLease(0.05, until, c.stays, Grant{Endpoint: 1, ExtraShare: 0.25, Limit: 40})
		harness.calls(2*time.Second, 40)
		first := float64(harness.calls(18*time.Second, 40)) / 18
		harness.calls(2*time.Second, 40)
		then := float64(harness.calls(20*time.Second, 40)) / 20
		if first < 0.85*c.first || first > 1.1*c.first || then > c.two+0.2 || then < 0.8*c.two {
			t.Errorf("stays %v: %.2f and then %.2f calls a second, want %v and %v", c.stays, first, then, c.first, c.two)
		}
	}
}

// What was reported to others of a limit counts where nothing was reported to this sender lately.
func TestGrant_LimitReportedToOthers_CountsIfNewer(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(0.1, harness.now+time.Hour, false, Grant{Endpoint: 1, Limit: 20, LimitAge: time.Second})
	if n := harness.calls(10*time.Second, 0); n > 22 || n < 15 {
		t.Errorf("%d calls in 10 s, by others' word 2 a second are its own", n)
	}
	harness.calls(5*time.Second, 60)
	harness.grantLease(0.1, harness.now+time.Hour, false, Grant{Endpoint: 1, Limit: 20})
	if n := harness.calls(10*time.Second, 60); n < 50 {
		t.Errorf("%d calls in 10 s, by its own newer report 6 a second", n)
	}
}

// The evidence of others ejects a route at a sender that has nothing newer of its own; it reports nothing of that itself, so that none comes
// back as its own evidence. Their delivery brings the route back, in slow start.
func TestGrant_EvidenceOfOthers_EjectsAndReturns(t *testing.T) {
	set := settings()
	set.Peers = 10
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.deliver(3, 50*ms)
	d := harness.sender.endpoints[1].route
	far := harness.now + time.Hour
	harness.grantLease(0.1, far, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: 10 * time.Second})
	if d.health != healthy {
		t.Error("an older observation of its peers overrides its own delivery")
	}
	harness.now += 20 * time.Second
	harness.grantLease(0.1, far, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: time.Second})
	if d.health != ejected {
		t.Error("a newer observation of its peers is ignored")
	}
	for _, s := range harness.sender.Observations(harness.now, nil) {
		if s.Unhealthy || s.Healthy {
			t.Errorf("it reports an observation of its peers as its own: %+v", s)
		}
	}
	harness.grantLease(0.1, far, false, Grant{Endpoint: 1, Healthy: true, HealthAge: 100 * ms})
	if d.health != recovering || harness.now-d.healthSince != 100*ms {
		t.Errorf("others' delivery leaves it %v, since %v", healthText[d.health], harness.now-d.healthSince)
	}
	for i := range uint64(2000) { // it fails by its own calls: that is evidence
		harness.now += 25 * ms
		ev := Event{Kind: Woken}
		if i%40 == 0 {
			ev = harness.arrive(i+1, 0)
		}
		for _, a := range actionsOf(harness.step(ev), Send) {
			harness.step(outcome(a.ID, harness.sender.messages[a.ID].attempts-1, a.Endpoint, Errored))
		}
	}
	if s := harness.sender.Observations(harness.now, nil); len(s) != 1 || !s[0].Unhealthy {
		t.Errorf("its own failures are no evidence: %+v", s)
	}
}

// Of those who have ejected a route on the evidence of others one probes it; the others hardly do, but none stops altogether.
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
		t.Errorf("in 50 s the one whose turn it is tries %d times, another %d times", one, others)
	}
}

// A wait told to another sender binds here too, for MaxRetryAfter at most.
func TestGrant_RetryAfterOfPeer_Binds(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 2 * time.Second
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(1, harness.now+time.Hour, false, Grant{Endpoint: 1, RetryAfter: time.Hour})
	if got := actionsOf(harness.step(harness.arrive(1, 0)), Send); len(got) != 0 {
		t.Error("a call goes out during the Retry-After that a peer was given")
	}
	if got := actionsOf(harness.wait(2500*ms), Send); len(got) != 1 {
		t.Errorf("%d calls when the wait is over", len(got))
	}
}

// An operator's bound that comes while limits are shared is split as they are.
func TestMaxRate_SharedLimits_IsSplit(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(0.05, harness.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.25, Limit: 100})
	harness.calls(2*time.Second, 100)
	harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, MaxRate: 20}}})
	if n := harness.calls(20*time.Second, 100); n > 122 || n < 100 {
		t.Errorf("%d calls in 20 s, want 6 a second", n)
	}
}

// A destination that leaves the list with grants and comes back under another id has its guaranteed share, and what is granted anew; what was
// granted for the one before is nobody's.
func TestGrant_RemovedEndpoint_IsDiscarded(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	set.Kinds = []Kind{{PerCall: 1, SeparateRoutes: true}}
	harness := newHarness(t, set, Endpoint{ID: 1})
	harness.grantLease(0.05, harness.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.5, Limit: 100, Unhealthy: true, HealthAge: time.Minute})
	harness.calls(2*time.Second, 100)
	harness.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Removed}, {ID: 2}}})
	harness.grantLease(0.05, harness.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.5, Limit: 100}, Grant{Endpoint: 9, ExtraShare: 0.5})
	d := harness.sender.endpoints[2].route
	if d.extraShare != 0 || d.unhealthyAtPeers || d.reportedLimit != 0 {
		t.Errorf("it begins with %+v", d)
	}
	harness.calls(2*time.Second, 100)
	if n := harness.calls(20*time.Second, 100); n > 105 || n < 80 {
		t.Errorf("%d calls in 20 s at its floor, want 5 a second", n)
	}
}

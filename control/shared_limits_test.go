package control

import (
	"testing"
	"time"
)

// lend grants a sender what it may spend.
func (r *harness) lend(floor float64, until time.Duration, stays bool, rights ...Grant) {
	r.step(Event{Kind: SharedLimitsUpdated, Shared: &SharedLimits{GuaranteedShare: floor, LeaseExpiry: until, KeepsGuaranteed: stays, Grants: rights}})
}

// calls counts what a sender sends in a while with plenty queued, each call let in after 10 ms, at which limit is reported.
func (r *harness) calls(d time.Duration, limit float64) (n int) {
	for end := r.now + d; r.now < end; r.now += 25 * ms {
		id := uint64(r.now/ms) + 1e9
		for _, a := range actionsOf(r.step(r.arrive(id, 0)), Send) {
			n++
			ev := outcome(a.ID, r.sender.messages[a.ID].attempts-1, a.Endpoint, Delivered)
			ev.Reported, ev.Limit, ev.Remaining = limit > 0, limit, 0.9
			r.now += 10 * ms
			r.step(ev)
			r.now -= 10 * ms
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
		r := newHarness(t, set, Endpoint{ID: 1})
		until := r.now + 20*time.Second
		r.lend(0.05, until, c.stays, Grant{Endpoint: 1, ExtraShare: 0.25, Limit: 40})
		r.calls(2*time.Second, 40)
		first := float64(r.calls(18*time.Second, 40)) / 18
		r.calls(2*time.Second, 40)
		then := float64(r.calls(20*time.Second, 40)) / 20
		if first < 0.85*c.first || first > 1.1*c.first || then > c.two+0.2 || then < 0.8*c.two {
			t.Errorf("stays %v: %.2f and then %.2f calls a second, want %v and %v", c.stays, first, then, c.first, c.two)
		}
	}
}

// What was reported to others of a limit counts where nothing was reported to this sender lately.
func TestGrant_LimitReportedToOthers_CountsIfNewer(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	r := newHarness(t, set, Endpoint{ID: 1})
	r.lend(0.1, r.now+time.Hour, false, Grant{Endpoint: 1, Limit: 20, LimitAge: time.Second})
	if n := r.calls(10*time.Second, 0); n > 22 || n < 15 {
		t.Errorf("%d calls in 10 s, by others' word 2 a second are its own", n)
	}
	r.calls(5*time.Second, 60)
	r.lend(0.1, r.now+time.Hour, false, Grant{Endpoint: 1, Limit: 20})
	if n := r.calls(10*time.Second, 60); n < 50 {
		t.Errorf("%d calls in 10 s, by its own newer word 6 a second", n)
	}
}

// The evidence of others ejects a route at a sender that has nothing newer of its own; it reports nothing of that itself, so that none comes
// back as its own evidence. Their delivery brings the route back, in slow start.
func TestGrant_EvidenceOfOthers_EjectsAndReturns(t *testing.T) {
	set := settings()
	set.Peers = 10
	r := newHarness(t, set, Endpoint{ID: 1})
	r.deliver(3, 50*ms)
	d := r.sender.endpoints[1].route
	far := r.now + time.Hour
	r.lend(0.1, far, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: 10 * time.Second})
	if d.health != healthy {
		t.Error("others' older word goes before its own delivery")
	}
	r.now += 20 * time.Second
	r.lend(0.1, far, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: time.Second})
	if d.health != ejected {
		t.Error("others' newer word does not count")
	}
	for _, s := range r.sender.Observations(r.now, nil) {
		if s.Unhealthy || s.Healthy {
			t.Errorf("it tells others' word as its own: %+v", s)
		}
	}
	r.lend(0.1, far, false, Grant{Endpoint: 1, Healthy: true, HealthAge: 100 * ms})
	if d.health != recovering || r.now-d.healthSince != 100*ms {
		t.Errorf("others' delivery leaves it %v, since %v", healthText[d.health], r.now-d.healthSince)
	}
	for i := range uint64(2000) { // it fails by its own calls: that is evidence
		r.now += 25 * ms
		ev := Event{Kind: Woken}
		if i%40 == 0 {
			ev = r.arrive(i+1, 0)
		}
		for _, a := range actionsOf(r.step(ev), Send) {
			r.step(outcome(a.ID, r.sender.messages[a.ID].attempts-1, a.Endpoint, Errored))
		}
	}
	if s := r.sender.Observations(r.now, nil); len(s) != 1 || !s[0].Unhealthy {
		t.Errorf("its own failures are no evidence: %+v", s)
	}
}

// Of those who have ejected a route on the evidence of others one probes it; the others hardly do, but none stops altogether.
func TestGrant_UnhealthyRoute_OneSenderProbes(t *testing.T) {
	probes := func(mayProbe bool) (n int) {
		set := settings()
		set.Peers, set.Slots = 10, 50
		r := newHarness(t, set, Endpoint{ID: 1})
		r.deliver(5, 50*ms)
		for i := range uint64(2000) {
			r.now += 25 * ms
			r.lend(0.1, r.now+time.Second, false, Grant{Endpoint: 1, Unhealthy: true, HealthAge: 0, MayProbe: mayProbe, Limit: 100})
			if i%20 == 0 {
				r.step(r.arrive(100+i, 0))
			}
			for _, a := range actionsOf(r.out, Send) {
				n++
				r.step(outcome(a.ID, r.sender.messages[a.ID].attempts-1, a.Endpoint, NoConnection))
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
func TestGrant_WaitToldToOthers_Binds(t *testing.T) {
	set := settings()
	set.MaxRetryAfter = 2 * time.Second
	r := newHarness(t, set, Endpoint{ID: 1})
	r.lend(1, r.now+time.Hour, false, Grant{Endpoint: 1, RetryAfter: time.Hour})
	if got := actionsOf(r.step(r.arrive(1, 0)), Send); len(got) != 0 {
		t.Error("a call goes out while another was told to wait")
	}
	if got := actionsOf(r.wait(2500*ms), Send); len(got) != 1 {
		t.Errorf("%d calls when the wait is over", len(got))
	}
}

// An operator's bound that comes while limits are shared is split as they are.
func TestMaxRate_SharedLimits_IsSplit(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	r := newHarness(t, set, Endpoint{ID: 1})
	r.lend(0.05, r.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.25, Limit: 100})
	r.calls(2*time.Second, 100)
	r.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, MaxRate: 20}}})
	if n := r.calls(20*time.Second, 100); n > 122 || n < 100 {
		t.Errorf("%d calls in 20 s, want 6 a second", n)
	}
}

// A destination that leaves the list with grants and comes back under another id has its guaranteed share, and what is granted anew; what was
// granted for the one before is nobody's.
func TestGrant_EndpointLeft_IsNobodys(t *testing.T) {
	set := settings()
	set.Peers, set.Slots = 10, 200
	set.Kinds = []Kind{{PerCall: 1, SeparateRoutes: true}}
	r := newHarness(t, set, Endpoint{ID: 1})
	r.lend(0.05, r.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.5, Limit: 100, Unhealthy: true, HealthAge: time.Minute})
	r.calls(2*time.Second, 100)
	r.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, State: Removed}, {ID: 2}}})
	r.lend(0.05, r.now+time.Hour, false, Grant{Endpoint: 1, ExtraShare: 0.5, Limit: 100}, Grant{Endpoint: 9, ExtraShare: 0.5})
	d := r.sender.endpoints[2].route
	if d.extraShare != 0 || d.unhealthyAtPeers || d.reportedLimit != 0 {
		t.Errorf("it begins with %+v", d)
	}
	r.calls(2*time.Second, 100)
	if n := r.calls(20*time.Second, 100); n > 105 || n < 80 {
		t.Errorf("%d calls in 20 s at its floor, want 5 a second", n)
	}
}

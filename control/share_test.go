package control

import (
	"testing"
	"time"
)

// What one tenant sends beyond its share is refused before what another sends within its own, and is sent after it.
func TestShareDecidesWhatIsShed(t *testing.T) {
	set := settings()
	set.MaxOpen, set.Slots = 20, 2
	set.Tenants = []Tenant{{Quota: 8}, {Quota: 8}} // four a second here: of two senders each has a half
	r := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	var evs []Event
	for i := range uint64(30) {
		ev := r.arrive(i+1, 0)
		if i >= 20 { // the other tenant's come last, when the store is full
			ev.Tenant, ev.Destination = 1, 1
		}
		evs = append(evs, ev)
	}
	over, within := 0, 0
	for _, a := range actionsOf(r.step(evs...), Refuse) {
		switch {
		case a.ID <= 4 || a.ID > 20 && a.ID <= 24:
			t.Errorf("message %d was within its tenant's share, and was refused", a.ID)
		case a.ID <= 20:
			over++
		default:
			within++
		}
	}
	if over+within != 11 || within > 6 {
		t.Errorf("%d and %d refused of those beyond the shares", over, within)
	}
}

// A share counts from when a client sent a message: what was held over a restart comes all at once, and is no flood.
func TestShareCountsFromSending(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration // from one message's sending to the next
		over int
	}{{"sent evenly, told together", 250 * ms, 0}, {"sent together", 0, 6}} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.Tenants, set.Slots = []Tenant{{Quota: 8}}, 1
			r := newHarness(t, set, Endpoint{ID: 1})
			var evs []Event
			for i := range uint64(10) {
				ev := r.arrive(i+1, 0)
				ev.Deadline -= time.Duration(10-i) * c.gap
				evs = append(evs, ev)
			}
			r.step(evs...)
			over := 0
			for _, m := range r.s.messages {
				if m.value < m.class.Value {
					over++
				}
			}
			if over != c.over {
				t.Errorf("%d of 10 count as beyond the share, want %d", over, c.over)
			}
		})
	}
}

// Messages of no tenant, or of one that the settings do not name, are worth what their class is.
func TestNoTenant(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Quota: 0}}
	r := newHarness(t, set, Endpoint{ID: 1})
	for i, tenant := range []int{-1, 1, 1 << 40, 0} {
		ev := r.arrive(uint64(i+1), 0)
		ev.Tenant = tenant
		r.step(ev)
		want := 1.0
		if tenant == 0 {
			want = set.OverQuotaValue // a share of nothing, but for the first of a second
			r.step(Event{Kind: Arrived, ID: 9, Deadline: ev.Deadline})
			ev.ID = 9
		}
		if m := r.s.messages[ev.ID]; m == nil || m.value != want {
			t.Errorf("tenant %d: %+v, want a worth of %v", tenant, m, want)
		}
	}
}

// A destination that was shut refuses all, which tells nothing of a limit that the list names: when it opens again its pace
// goes by an equal part of that, not what little was let in meanwhile. Without the weight it has to be learnt again.
func TestWeightOutlivesRefusals(t *testing.T) {
	for _, weight := range []float64{0, 16} {
		set := settings()
		set.Slots = 40
		r := newHarness(t, set, Endpoint{ID: 1, Weight: weight})
		id := uint64(0)
		for r.now < time.Hour+20*time.Second { // two a second, all refused for ten seconds
			id++
			ev := r.arrive(id, 1)
			res := Throttled
			if r.now > time.Hour+10*time.Second {
				res = Delivered
			}
			sent := actionsOf(r.step(ev), Send)
			sent = append(sent, actionsOf(r.wait(500*ms), Send)...)
			for _, a := range sent {
				r.step(outcome(a.ID, r.s.messages[a.ID].attempts-1, 1, res))
			}
		}
		limit := r.s.endpoints[1].route.rateLimit
		if weight > 0 && (limit < weight/4 || limit > weight) {
			t.Errorf("with a weight of %v the pace is %.2f calls/s, want half of an equal part at least", weight, limit)
		}
		if weight == 0 && limit > 3 {
			t.Errorf("without a weight the pace is %.2f calls/s: nothing was learnt, and the test shows nothing", limit)
		}
	}
}

// A report tells more than the list, whose weight is known before it and does not come back with each change.
func TestReportOverridesWeight(t *testing.T) {
	r := newHarness(t, settings(), Endpoint{ID: 1, Weight: 16})
	r.step(r.arrive(1, 1))
	ev := outcome(1, 0, 1, Delivered)
	ev.Reported, ev.Remaining, ev.Limit = true, 0.4, 6
	r.step(ev)
	r.step(Event{Kind: Listed, Endpoints: []Endpoint{{ID: 1, Weight: 16}}})
	if d := r.s.endpoints[1].route; d.reportedLimit != 6 || d.reportedRemaining != 0.4 {
		t.Errorf("limit %v and share %v, want what was reported", d.reportedLimit, d.reportedRemaining)
	}
}

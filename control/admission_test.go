package control

import (
	"testing"
	"time"
)

// A store that is nearly full refuses the message of least value, at once, with the time after which to come again.
func TestLoadShedding_FullStore_ShedsLowestValue(t *testing.T) {
	set := settings()
	set.MaxOpen, set.Slots = 20, 2
	harness := newHarness(t, set, Endpoint{ID: 1})
	var evs []Event
	for i := range uint64(40) {
		evs = append(evs, harness.arrive(i+1, int(i%2)*2))
	}
	refused := actionsOf(harness.step(evs...), Refuse)
	if len(refused) != 40-(set.MaxOpen-1) {
		t.Errorf("%d refused, want the store kept one short of full", len(refused))
	}
	for _, a := range refused[:10] {
		if a.ID%2 == 0 || a.For <= 0 {
			t.Errorf("%v: a payment went before the notices, or without a hold-off", a)
		}
	}
}

// What one tenant sends beyond its quota is refused before what another sends within its own, and is sent after it.
func TestLoadShedding_BeyondQuota_IsShedFirst(t *testing.T) {
	set := settings()
	set.MaxOpen, set.Slots = 20, 2
	set.Tenants = []Tenant{{Quota: 8}, {Quota: 8}} // four a second here: of two senders each has a half
	harness := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	var evs []Event
	for i := range uint64(30) {
		ev := harness.arrive(i+1, 0)
		if i >= 20 { // the other tenant's come last, when the store is full
			ev.Tenant, ev.Destination = 1, 1
		}
		evs = append(evs, ev)
	}
	over, within := 0, 0
	for _, a := range actionsOf(harness.step(evs...), Refuse) {
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

// A quota counts from when a client sent a message: what was kept over a restart comes all at once, and is no flood.
func TestQuota_RestoredMessages_CountFromSending(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration // from one message's sending to the next
		over int
	}{{"sent evenly, told together", 250 * ms, 0}, {"sent together", 0, 6}} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.Tenants, set.Slots = []Tenant{{Quota: 8}}, 1
			harness := newHarness(t, set, Endpoint{ID: 1})
			var evs []Event
			for i := range uint64(10) {
				ev := harness.arrive(i+1, 0)
				ev.Deadline -= time.Duration(10-i) * c.gap
				evs = append(evs, ev)
			}
			harness.step(evs...)
			over := 0
			for _, m := range harness.sender.messages {
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

// Messages of no tenant, or of one that the settings do not name, have the value of their class.
func TestQuota_NoTenant_KeepsValue(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Quota: 0}}
	harness := newHarness(t, set, Endpoint{ID: 1})
	for i, tenant := range []int{-1, 1, 1 << 40, 0} {
		ev := harness.arrive(uint64(i+1), 0)
		ev.Tenant = tenant
		harness.step(ev)
		want := 1.0
		if tenant == 0 {
			want = set.OverQuotaValue // a share of nothing, but for the first of a second
			harness.step(Event{Kind: Arrived, ID: 9, Deadline: ev.Deadline})
			ev.ID = 9
		}
		if m := harness.sender.messages[ev.ID]; m == nil || m.value != want {
			t.Errorf("tenant %d: %+v, want a worth of %v", tenant, m, want)
		}
	}
}

package control

import (
	"testing"
	"time"
)

// When the store is nearly full, the message of least value is refused immediately, with the time after which to submit it again.
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
		t.Errorf("%d refused, want the store to stay one message short of full", len(refused))
	}
	for _, a := range refused[:10] {
		if a.ID%2 == 0 || a.Duration <= 0 {
			t.Errorf("%v: a payment was shed before the notices, or For is not positive", a)
		}
	}
}

// Messages beyond their tenant's quota are refused before another tenant's messages within its quota, and sent after them.
func TestLoadShedding_BeyondQuota_IsShedFirst(t *testing.T) {
	set := settings()
	set.MaxOpen, set.Slots = 20, 2
	set.Tenants = []Tenant{{Quota: 8}, {Quota: 8}} // two senders: each tenant has four a second here
	harness := newHarness(t, set, Endpoint{ID: 1}, Endpoint{ID: 2, Destination: 1})
	var evs []Event
	for i := range uint64(30) {
		ev := harness.arrive(i+1, 0)
		if i >= 20 { // the other tenant's messages arrive last, when the store is full
			ev.Tenant, ev.Destination = 1, 1
		}
		evs = append(evs, ev)
	}
	over, within := 0, 0
	for _, a := range actionsOf(harness.step(evs...), Refuse) {
		switch {
		case a.ID <= 4 || a.ID > 20 && a.ID <= 24:
			t.Errorf("message %d was within its tenant's quota, but was refused", a.ID)
		case a.ID <= 20:
			over++
		default:
			within++
		}
	}
	if over+within != 11 || within > 6 {
		t.Errorf("%d and %d messages beyond the quotas refused, want 11 together, at most 6 of the second tenant", over, within)
	}
}

// A quota counts messages when the client sent them. Messages restored after a restart arrive together, but must not count as a burst.
func TestQuota_RestoredMessages_CountFromSending(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration // between the sending times of messages
		over int
	}{{"sent evenly, arrived together", 250 * ms, 0}, {"sent together", 0, 6}} {
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
				t.Errorf("%d of 10 count as beyond the quota, want %d", over, c.over)
			}
		})
	}
}

// Messages without a tenant, or with a tenant that the settings don't list, have the value of their class.
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
			want = set.OverQuotaValue // a quota of 0 allows one message only
			harness.step(Event{Kind: Arrived, ID: 9, Deadline: ev.Deadline})
			ev.ID = 9
		}
		if m := harness.sender.messages[ev.ID]; m == nil || m.value != want {
			t.Errorf("tenant %d: %+v, want a value of %v", tenant, m, want)
		}
	}
}

package control

import (
	"testing"
)

// One destination holds at most three quarters of the slots, even if there are only two or three.
func TestSlots_OneDestination_TakesThreeQuartersAtMost(t *testing.T) {
	for slots, want := range map[int]int{1: 1, 2: 1, 3: 2, 8: 6} {
		set := settings()
		set.Slots = slots
		harness := newHarness(t, set, Endpoint{ID: 1})
		var evs []Event
		for i := range 20 {
			evs = append(evs, harness.arrive(uint64(i+1), 2))
		}
		if got := len(actionsOf(harness.step(evs...), Send)); got != want {
			t.Errorf("%d slots: %d calls, want %d", slots, got, want)
		}
	}
}

// Several destinations that hang at the same time must not hold all slots.
func TestSlots_SeveralDestinationsHang_OthersGetSlots(t *testing.T) {
	var eps []Endpoint
	for i := range 4 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
	}
	harness := newHarness(t, settings(), eps...)
	harness.deliver(8, 100*ms)
	id := uint64(1)
	for range 40 {
		var evs []Event
		for d := 1; d < 4; d++ { // these three hang; calls to destination 0 are answered immediately
			ev := harness.arrive(id, 2)
			ev.Destination = d
			evs = append(evs, ev)
			id++
		}
		for _, a := range append(harness.step(evs...), harness.wait(500*ms)...) {
			switch {
			case a.Kind == Cancel:
				harness.step(outcome(a.ID, a.Attempt, 0, Cancelled))
			case a.Kind == Send && a.Endpoint == 1:
				harness.step(outcome(a.ID, 0, 1, Delivered))
			}
		}
	}
	acts := harness.step(harness.arrive(9999, 2)) // a payment, since the store is full of payments and a notice would be shed
	for range 10 {
		for i := 0; i < len(acts); i++ {
			switch a := acts[i]; {
			case a.Kind == Cancel:
				acts = append(acts, harness.step(outcome(a.ID, a.Attempt, 0, Cancelled))...)
			case a.Kind == Send && a.Endpoint == 1:
				return
			}
		}
		acts = harness.wait(25 * ms)
	}
	t.Errorf("nothing was sent to the healthy destination, %d of %d slots in use", harness.sender.slotsInUse, harness.sender.settings.Slots)
}

// Some calls are never answered, because the answers are lost, while newer calls are. They must not keep the slots.
func TestSlots_LostAnswers_AreCalledOff(t *testing.T) {
	var eps []Endpoint
	for i := range 3 {
		eps = append(eps, Endpoint{ID: uint32(i + 1), Destination: i})
	}
	harness := newHarness(t, settings(), eps...)
	harness.deliver(8, 100*ms)
	lost, answered, sends := 0, 0, 0
	var acts []Action
	for id := range uint64(120) {
		ev := harness.arrive(id+1, 2)
		ev.Destination = int(id % 3)
		acts = append(acts, harness.step(ev)...)
		for i := 0; i < len(acts); i++ {
			switch a := acts[i]; a.Kind {
			case Cancel:
				acts = append(acts, harness.step(outcome(a.ID, a.Attempt, 0, Cancelled))...)
			case Send:
				if sends++; sends%4 == 0 {
					lost++ // its answer never comes
				} else {
					answered++
					acts = append(acts, harness.step(outcome(a.ID, 0, a.Endpoint, Delivered))...)
				}
			}
		}
		acts = harness.wait(150 * ms)
	}
	if lost < 8 || answered < 70 {
		t.Errorf("%d calls answered, want at least 70, and %d lost, want at least 8: lost calls keep the slots", answered, lost)
	}
}

package dedup_test

import (
	"testing"
	"time"

	"mastusher/internal/tier/dedup"
)

const length = 9 * time.Second

// dayOf is the time of day that a right clock shows.
func dayOf(now time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(now) }

func TestAnOrderIsSettledAfterItsWindow(t *testing.T) {
	tests := []struct {
		name    string
		age     time.Duration // of the order
		seen    time.Duration // since this process has seen it
		skew    time.Duration // of this machine's time of day against that of the one that took the order
		settled bool
	}{
		{"just taken", 0, 0, 0, false},
		{"within its window", length, length, 0, false},
		{"after its window", length + 1, length + 1, 0, true},
		{"after its window, on a clock that went back", length + 1, length + 1, -2 * time.Second, true},
		{"after its window, on a clock that went back a year", length + 1, length + 1, -365 * 24 * time.Hour, true},
		{"within its window, on a clock that went ahead", length, length, 2 * time.Second, false},
		{"within its window, between two clocks that went apart", length, length, 4 * time.Second, false},
		{"within its window, after a restart", length, time.Second, 0, false},
		{"within its window, after a restart, on a clock that went ahead", length, time.Second, 2 * time.Second, false},
		{"long ago, after a restart", length + 6*time.Second, time.Second, 0, true},
		{"long ago, after a restart, on a clock that went back", length + 6*time.Second, time.Second, -2 * time.Second, false},
		{"long ago, some time after a restart, on a clock that went back", 99 * time.Second, length + 1, -time.Hour, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const now = time.Hour
			order := dedup.AcceptedOrder{Index: 7, AtMs: dayOf(now - test.age).UnixMilli()}
			w := dedup.NewWindow(length)
			w.Observe(now-test.seen, []dedup.AcceptedOrder{order})
			w.Observe(now, []dedup.AcceptedOrder{order})
			got := w.ExpiredUpTo(now, dayOf(now+test.skew), []dedup.AcceptedOrder{order})
			if want := map[bool]uint64{true: 7}[test.settled]; got != want {
				t.Errorf("orders are settled up to entry %d, want %d", got, want)
			}
		})
	}
}

func TestTheNewestSettledOrderCounts(t *testing.T) {
	// Given orders of which the first three are old, the second by a clock that was ahead,
	taken := []dedup.AcceptedOrder{{Index: 3, AtMs: dayOf(0).UnixMilli()}, {Index: 5, AtMs: dayOf(time.Hour).UnixMilli()}, {Index: 8, AtMs: dayOf(0).UnixMilli()}}
	w := dedup.NewWindow(length)
	w.Observe(0, taken)
	taken = append(taken, dedup.AcceptedOrder{Index: 9, AtMs: dayOf(time.Minute).UnixMilli()})
	w.Observe(time.Minute, taken)
	// then the third settles those before it, and not the one after it.
	if got := w.ExpiredUpTo(time.Minute, dayOf(time.Minute), taken); got != 8 {
		t.Errorf("orders are settled up to entry %d, want 8", got)
	}
	// And an order that is gone and comes again, as after a restored snapshot, is seen anew.
	w.Observe(2*time.Minute, nil)
	w.Observe(3*time.Minute, taken)
	if got := w.SeenFor(3*time.Minute, 8); got != 0 {
		t.Errorf("an order that was gone has been seen for %v", got)
	}
}

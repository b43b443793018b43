package dedup_test

import (
	"testing"
	"time"

	"mastusher/internal/tier/dedup"
)

const windowLength = 9 * time.Second

// wallClockAt is what a correct wall clock shows.
func wallClockAt(now time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(now) }

func TestExpiredUpTo_OneOrder_ExpiresAfterTheWindow(t *testing.T) {
	tests := []struct {
		name    string
		age     time.Duration // of the order
		seen    time.Duration // since this process first saw it
		skew    time.Duration // of this machine's wall clock against that of the one that accepted the order
		expired bool
	}{
		{"just accepted", 0, 0, 0, false},
		{"within its window", windowLength, windowLength, 0, false},
		{"after its window", windowLength + 1, windowLength + 1, 0, true},
		{"after its window, on a clock that went back", windowLength + 1, windowLength + 1, -2 * time.Second, true},
		{"after its window, on a clock that went back a year", windowLength + 1, windowLength + 1, -365 * 24 * time.Hour, true},
		{"within its window, on a clock that went ahead", windowLength, windowLength, 2 * time.Second, false},
		{"within its window, between two clocks that went apart", windowLength, windowLength, 4 * time.Second, false},
		{"within its window, after a restart", windowLength, time.Second, 0, false},
		{"within its window, after a restart, on a clock that went ahead", windowLength, time.Second, 2 * time.Second, false},
		{"long ago, after a restart", windowLength + 6*time.Second, time.Second, 0, true},
		{"long ago, after a restart, on a clock that went back", windowLength + 6*time.Second, time.Second, -2 * time.Second, false},
		{"long ago, some time after a restart, on a clock that went back", 99 * time.Second, windowLength + 1, -time.Hour, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const now = time.Hour
			order := dedup.AcceptedOrder{Index: 7, AcceptedAtMs: wallClockAt(now - test.age).UnixMilli()}
			w := dedup.NewWindow(windowLength)
			w.Observe(now-test.seen, []dedup.AcceptedOrder{order})
			w.Observe(now, []dedup.AcceptedOrder{order})
			got := w.ExpiredUpTo(now, wallClockAt(now+test.skew), []dedup.AcceptedOrder{order})
			if want := map[bool]uint64{true: 7}[test.expired]; got != want {
				t.Errorf("orders have expired up to entry %d, want %d", got, want)
			}
		})
	}
}

func TestExpiredUpTo_SeveralOrders_HighestExpiredIndex(t *testing.T) {
	// Given orders of which the first three are old, the second by a clock that was ahead,
	accepted := []dedup.AcceptedOrder{{Index: 3, AcceptedAtMs: wallClockAt(0).UnixMilli()}, {Index: 5, AcceptedAtMs: wallClockAt(time.Hour).UnixMilli()}, {Index: 8, AcceptedAtMs: wallClockAt(0).UnixMilli()}}
	w := dedup.NewWindow(windowLength)
	w.Observe(0, accepted)
	accepted = append(accepted, dedup.AcceptedOrder{Index: 9, AcceptedAtMs: wallClockAt(time.Minute).UnixMilli()})
	w.Observe(time.Minute, accepted)
	// then the third has expired with those before it, and not the one after it.
	if got := w.ExpiredUpTo(time.Minute, wallClockAt(time.Minute), accepted); got != 8 {
		t.Errorf("orders have expired up to entry %d, want 8", got)
	}
	// And an order that was forgotten and comes back, as after a restored snapshot, counts as new.
	w.Observe(2*time.Minute, nil)
	w.Observe(3*time.Minute, accepted)
	if got := w.SeenFor(3*time.Minute, 8); got != 0 {
		t.Errorf("an order that was forgotten has been seen for %v", got)
	}
}

package dedup_test

import (
	"testing"
	"time"

	"mastusher/internal/tier/dedup"
)

const windowLength = 9 * time.Second

// wallClockAt returns the time of a correct wall clock at a time of the monotonic clock.
func wallClockAt(now time.Duration) time.Time { return time.UnixMilli(1_700_000_000_000).Add(now) }

func TestExpiredUpTo_OneOrder_ExpiresAfterTheWindow(t *testing.T) {
	tests := []struct {
		name    string
		age     time.Duration // since the order was accepted
		seen    time.Duration // since this process first saw it
		skew    time.Duration // of this machine's wall clock, relative to that of the machine that accepted the order
		expired bool
	}{
		{"just accepted", 0, 0, 0, false},
		{"within the window", windowLength, windowLength, 0, false},
		{"after the window", windowLength + 1, windowLength + 1, 0, true},
		{"after the window, wall clock behind", windowLength + 1, windowLength + 1, -2 * time.Second, true},
		{"after the window, wall clock a year behind", windowLength + 1, windowLength + 1, -365 * 24 * time.Hour, true},
		{"within the window, wall clock ahead", windowLength, windowLength, 2 * time.Second, false},
		{"within the window, wall clock ahead by almost clockSkew", windowLength, windowLength, 4 * time.Second, false},
		{"within the window, after a restart", windowLength, time.Second, 0, false},
		{"within the window, after a restart, wall clock ahead", windowLength, time.Second, 2 * time.Second, false},
		{"long after the window, after a restart", windowLength + 6*time.Second, time.Second, 0, true},
		{"long after the window, just after a restart, wall clock behind", windowLength + 6*time.Second, time.Second, -2 * time.Second, false},
		{"long after the window, seen for longer than the window since a restart, wall clock behind", 99 * time.Second, windowLength + 1, -time.Hour, true},
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
	// Given three old orders, the second of which was accepted on a machine whose wall clock was ahead, and a new order,
	accepted := []dedup.AcceptedOrder{{Index: 3, AcceptedAtMs: wallClockAt(0).UnixMilli()}, {Index: 5, AcceptedAtMs: wallClockAt(time.Hour).UnixMilli()}, {Index: 8, AcceptedAtMs: wallClockAt(0).UnixMilli()}}
	w := dedup.NewWindow(windowLength)
	w.Observe(0, accepted)
	accepted = append(accepted, dedup.AcceptedOrder{Index: 9, AcceptedAtMs: wallClockAt(time.Minute).UnixMilli()})
	w.Observe(time.Minute, accepted)
	// then the third has expired, with those before it, and the new one has not.
	if got := w.ExpiredUpTo(time.Minute, wallClockAt(time.Minute), accepted); got != 8 {
		t.Errorf("orders have expired up to entry %d, want 8", got)
	}
	// And an order that is forgotten and then listed again, as after a restored snapshot, counts as first seen then.
	w.Observe(2*time.Minute, nil)
	w.Observe(3*time.Minute, accepted)
	if got := w.SeenFor(3*time.Minute, 8); got != 0 {
		t.Errorf("an order that was forgotten has been seen for %v, want 0", got)
	}
}

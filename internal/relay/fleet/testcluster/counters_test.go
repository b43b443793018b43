package testcluster

import "testing"

// What a fleet says that it has taken on is held to what clients were told, with the same room whatever was done to its relays.
func TestCountsMatch_AcceptedAndAcknowledged_AgreeWithinWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name        string
		taken, told int
		exact, fits bool
	}{
		{"given as many as were told, when exact, then they fit", 287, 287, true, true},
		{"given one less, when exact, then they do not fit", 286, 287, true, false},
		{"given one less, when a relay has died, then they fit", 286, 287, false, true},
		{"given the last that left clients allow for, then they fit", 1015, 1000, true, true},
		{"given one more than that, then they do not fit", 1016, 1000, true, false},
		{"given one more than that, when a relay has died, then they do not fit either", 1016, 1000, false, false},
		{"given requests of clients that had left, as 30106 had, then they do not fit", 298, 287, true, false},
		{"given no answer, then it does not fit", -1, 0, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := countsMatch(c.taken, c.told, c.exact); got != c.fits {
				t.Errorf("%d taken on, %d told, exact %v: %v, want %v", c.taken, c.told, c.exact, got, c.fits)
			}
		})
	}
}

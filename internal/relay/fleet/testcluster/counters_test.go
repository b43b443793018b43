package testcluster

import "testing"

// TestCountsMatch_AcceptedAndAcknowledged_AgreeWithinWithdrawn: what a fleet counts as accepted must match what clients were answered, within the
// same tolerance whatever was done to its relays.
func TestCountsMatch_AcceptedAndAcknowledged_AgreeWithinWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name                   string
		accepted, acknowledged int
		exact, fits            bool
	}{
		{"given as many as were acknowledged, when exact, then they fit", 287, 287, true, true},
		{"given one less, when exact, then they do not fit", 286, 287, true, false},
		{"given one less, when a relay has died, then they fit", 286, 287, false, true},
		{"given the last that left clients allow for, then they fit", 1015, 1000, true, true},
		{"given one more than that, then they do not fit", 1016, 1000, true, false},
		{"given one more than that, when a relay has died, then they do not fit either", 1016, 1000, false, false},
		{"given requests of clients that had left, as 30106 had, then they do not fit", 298, 287, true, false},
		{"given no answer, then it does not fit", -1, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := countsMatch(test.accepted, test.acknowledged, test.exact); got != test.fits {
				t.Errorf("%d accepted, %d acknowledged, exact %v: %v, want %v", test.accepted, test.acknowledged, test.exact, got, test.fits)
			}
		})
	}
}

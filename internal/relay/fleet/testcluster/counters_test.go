package testcluster

import "testing"

// TestCountsMatch_AcceptedAndAcknowledged_AgreeWithinWithdrawn: the tolerance for more accepted than acknowledged messages is the same with
// and without crashes of relays.
func TestCountsMatch_AcceptedAndAcknowledged_AgreeWithinWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name                   string
		accepted, acknowledged int
		exact, match           bool
	}{
		{"given equal numbers, when exact, then they match", 287, 287, true, true},
		{"given one accepted less, when exact, then they do not match", 286, 287, true, false},
		{"given one accepted less, when a relay has crashed, then they match", 286, 287, false, true},
		{"given the maximum of clients that left, then they match", 1015, 1000, true, true},
		{"given one more than the maximum, then they do not match", 1016, 1000, true, false},
		{"given one more than the maximum, when a relay has crashed, then they do not match", 1016, 1000, false, false},
		{"given too many clients that left, as with seed 30106, then they do not match", 298, 287, true, false},
		{"given no counter from the fleet, then they do not match", -1, 0, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := countsMatch(test.accepted, test.acknowledged, test.exact); got != test.match {
				t.Errorf("%d accepted, %d acknowledged, exact %v: match %v, want %v", test.accepted, test.acknowledged, test.exact, got, test.match)
			}
		})
	}
}

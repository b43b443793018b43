package replica

import "testing"

// faultSeeds is the number of random runs within which the checker must detect that wiped nodes keep their identity.
const faultSeeds = 400

func TestChecker_EmptiedDiskKeepsIdentity_IsNoticed(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		c := newCampaign(seed)
		c.keepIDs = true
		if violation := c.run(); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return
		}
	}
	t.Errorf("the checker detects no violation in %d runs with wiped nodes that keep their identity", faultSeeds)
}

package replica

import "testing"

// faultSeeds is the number of random runs within which a fault outside the members must be noticed.
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
	t.Errorf("not noticed in %d runs", faultSeeds)
}

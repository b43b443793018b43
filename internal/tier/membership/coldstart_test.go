package membership

import (
	"fmt"
	"testing"
	"time"
)

// maxColdStart is the time within which all members know each other after a start of the whole system: decisions on missing
// members, such as that a replica is lost, must wait longer.
const maxColdStart = 3500 * time.Millisecond

// clusterWithDifferentSeeds returns a cluster of five controllers in which each machine's settings name three of them, as operators'
// lists do that were written at different times.
func clusterWithDifferentSeeds(size int, seed uint64) *cluster {
	fleet := newCluster(size, seed)
	for _, h := range fleet.hosts[3:5] {
		h.member.Role = Controller
	}
	for _, h := range fleet.hosts {
		h.seeds = nil
		for _, i := range fleet.random.Perm(5)[:3] {
			h.seeds = append(h.seeds, fleet.hosts[i].member.Address)
		}
	}
	return fleet
}

func TestFleet_ColdStartWithDifferentSeeds_MeetsWithinTheBound(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(60) {
		// Given machines whose seeds differ, when all start at once,
		fleet := clusterWithDifferentSeeds(25, seed)
		fleet.startAll()
		fleet.runFor(300 * time.Millisecond)
		// then no groups remain that have each joined by other seeds.
		took, done := fleet.runUntil(20*time.Second, fleet.converged)
		worst = max(worst, took)
		if !done || took > maxColdStart {
			t.Errorf("seed %d: %v until all know each other", seed, took)
		}
	}
	t.Log(fmt.Sprint("at most ", worst))
}

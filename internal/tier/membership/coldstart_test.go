package membership

import (
	"fmt"
	"testing"
	"time"
)

// maxColdStart bounds the time after a start of the whole system until all members know each other. Decisions about missing
// members, such as that a replica is lost, must wait longer.
const maxColdStart = 3500 * time.Millisecond

// clusterWithDifferentSeeds returns a cluster with five controllers, any three of which are the seeds of each host, as when the
// seeds in the settings of machines were written at different times.
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
		// Given hosts whose seeds differ, when all start at once,
		fleet := clusterWithDifferentSeeds(25, seed)
		fleet.startAll()
		fleet.runFor(300 * time.Millisecond)
		// then the groups that have joined through different seeds merge.
		took, done := fleet.runUntil(20*time.Second, fleet.converged)
		worst = max(worst, took)
		if !done || took > maxColdStart {
			t.Errorf("seed %d: the members took %v to know each other, longer than maxColdStart", seed, took)
		}
	}
	t.Log(fmt.Sprint("at most ", worst))
}

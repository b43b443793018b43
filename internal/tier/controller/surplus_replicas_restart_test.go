package controller

import (
	"testing"
	"time"
)

// TestRestartedStore_SurplusReplicas_NotLoaded has a store that gave replicas up lose its power.
func TestRestartedStore_SurplusReplicas_NotLoaded(t *testing.T) {
	// Given a store that has stopped the replicas that others have now,
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	cluster.replaceStore(1)
	cluster.storage(1).start()
	cluster.until("no store holds more than it is to hold", 10*time.Second, func() bool { return cluster.hasSurplusReplicas() == "" })

	// when it starts again, then it doesn't begin with them.
	cluster.storage(1).kill()
	cluster.run(clusterStep)
	cluster.storage(1).start()
	loaded, _ := cluster.storage(1).store.Stats()
	if target := len(shardsOf(cluster.placement(), cluster.storage(1).member.ID)); loaded > target {
		t.Errorf("the store reads %d replicas at its start, and should read %d", loaded, target)
	}
}

// TestStores_StopAndReturnInAnyOrder_NoSurplus has placements change while replicas that have moved away are being stopped: the machines under
// the same identity are lost to the group and wanted again, at all distances around the review.
func TestStores_StopAndReturnInAnyOrder_NoSurplus(t *testing.T) {
	for away := 0 * time.Millisecond; away <= 4*time.Second; away += 200 * time.Millisecond {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			cluster := newCluster(t, 5)
			cluster.awaitPlacement()
			turns := turnsOf(cluster, 0)
			cluster.replaceStore(1)
			cluster.storage(1).start()
			cluster.run(away)
			cluster.storage(2).kill()
			cluster.run(deathDelay + 6*time.Second)
			cluster.storage(2).start()
			cluster.until("groups are complete again", 10*time.Second, cluster.isComplete)
			cluster.until("no store holds more than it is to hold", 10*time.Second, func() bool { return cluster.hasSurplusReplicas() == "" })
			cluster.wantTurns(turns)
		})
	}
}

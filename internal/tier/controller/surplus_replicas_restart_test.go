package controller

import (
	"testing"
	"time"
)

// TestRestartedStore_SurplusReplicas_NotLoaded restarts a store that has stopped surplus replicas.
func TestRestartedStore_SurplusReplicas_NotLoaded(t *testing.T) {
	// Given a store that has stopped the replicas that other stores have now,
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	cluster.replaceStore(1)
	cluster.storage(1).start()
	cluster.until("no store has surplus replicas", 10*time.Second, func() bool { return cluster.storeWithSurplus() == "" })

	// when the store restarts, then it doesn't load them.
	cluster.storage(1).kill()
	cluster.run(clusterStep)
	cluster.storage(1).start()
	loaded, _ := cluster.storage(1).store.Stats()
	if target := len(shardsOf(cluster.placement(), cluster.storage(1).member.ID)); loaded > target {
		t.Errorf("the store loads %d replicas at its start, want %d at most", loaded, target)
	}
}

// TestStores_StopAndReturnInAnyOrder_NoSurplus has placements change while stores stop surplus replicas: a machine with the same identity
// leaves a group and joins it again, at many times around the store's check for surplus replicas.
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
			cluster.until("no store has surplus replicas", 10*time.Second, func() bool { return cluster.storeWithSurplus() == "" })
			cluster.wantTurns(turns)
		})
	}
}

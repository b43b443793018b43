package controller

import (
	"testing"
	"time"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/membership"
)

// storeLoads counts the replicas that the placement gives to each store, by identity, including stores without replicas.
func storeLoads(c *cluster) map[string]int {
	loads := map[string]int{}
	for _, m := range c.sorted() {
		if m.member.Role == membership.Store {
			loads[m.member.ID] = 0
		}
	}
	for _, shard := range c.placement().Shards {
		for _, r := range shard.Replicas {
			loads[r.ID]++
		}
	}
	return loads
}

// imbalance returns the difference between the largest and the smallest load of a store.
func imbalance(c *cluster) int {
	smallest, largest := 1<<30, 0
	for _, load := range storeLoads(c) {
		smallest, largest = min(smallest, load), max(largest, load)
	}
	return largest - smallest
}

// movedReplicas counts the replicas that are in one placement and not in an earlier one.
func movedReplicas(before, after decommission.Placement) int {
	moved := 0
	for number, shard := range after.Shards {
		known := idsOf(before.Shards[number].Replicas)
		for _, id := range idsOf(shard.Replicas) {
			if !contains(known, id) {
				moved++
			}
		}
	}
	return moved
}

func contains(ids []string, id string) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}

func TestBalance_StoresCome_ReplicasMoveOneAtATime(t *testing.T) {
	// Given four stores that hold all replicas, and some turns on each shard,
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	// when two more stores join,
	cluster.add(storeMember(5)).start()
	cluster.add(storeMember(6)).start()
	before, changedAt := cluster.placement(), cluster.now
	for end := cluster.now + 60*time.Second; cluster.now < end; cluster.run(clusterStep) {
		placed := cluster.placement()
		if placed.Index == 0 || placed.Index == before.Index {
			continue
		}
		if moved := movedReplicas(before, placed); moved != 1 {
			t.Fatalf("%d replicas moved at once, want 1", moved)
		}
		if since := cluster.now - changedAt; since < balanceInterval-reconcileInterval {
			t.Fatalf("the next replica moved after only %v", since)
		}
		before, changedAt = placed, cluster.now
	}
	// then replicas move one at a time until the loads differ by one at most, and no turn is lost.
	if got := imbalance(cluster); got > 1 {
		t.Errorf("the loads of stores differ by %d replicas: %v", got, storeLoads(cluster))
	}
	cluster.until("groups are complete", 5*time.Second, cluster.isComplete)
	cluster.wantTurns(turns)
}

func TestBalance_StoreMissing_NothingMoves(t *testing.T) {
	// Given stores with unequal loads, one of which has replicas and is down,
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	cluster.run(completeViewTime)
	cluster.add(storeMember(5)).start()
	cluster.run(9 * time.Second)
	cluster.storage(1).kill()
	// when time passes, but not enough for the store to count as lost, then no replica moves for balance.
	before := cluster.placement()
	cluster.run(deathDelay)
	if moved := movedReplicas(before, cluster.placement()); moved > 0 {
		t.Errorf("%d replicas have moved", moved)
	}
}

// completeViewTime is more than the time after which a leader considers its view of the members complete.
const completeViewTime = 15 * time.Second

func TestLostStore_NeverSeenAndCaughtUp_IsNotLost(t *testing.T) {
	// Given controllers that have all restarted, and a running store that membership hasn't discovered yet,
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	before := cluster.placement()
	hidden := cluster.storage(1)
	hidden.known = false
	for _, m := range cluster.sorted() {
		if m.controller != nil {
			m.kill()
			m.start()
		}
	}
	// when more time passes than that after which an unknown store counts as lost,
	cluster.run(8 * time.Second)
	// then its replicas stay, since the leaders of its groups are in contact with it.
	if moved := movedReplicas(before, cluster.placement()); moved > 0 {
		t.Fatalf("%d replicas have moved", moved)
	}
	// But once the store is down, they move.
	hidden.running = false
	hidden.disk.Kill()
	cluster.run(8 * time.Second)
	if got := shardsOf(cluster.placement(), hidden.member.ID); len(got) > 0 {
		t.Errorf("shards %v are still placed on the store that is down", got)
	}
}

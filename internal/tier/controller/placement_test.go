package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/view"
)

// shardsOf lists the shards that want a replica under the identity.
func shardsOf(placed decommission.Placement, id string) []int {
	var shards []int
	for number, shard := range placed.Shards {
		if slices.Contains(idsOf(shard.Replicas), id) {
			shards = append(shards, number)
		}
	}
	return shards
}

func TestPlacement_NoFaults_Unchanged(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	first := cluster.placement()

	// Given a new store, and one that is down for a short while.
	cluster.add(storeMember(5)).start()
	cluster.run(2 * time.Second)
	cluster.storage(1).kill()
	cluster.run(500 * time.Millisecond)
	cluster.storage(1).start()
	cluster.run(6 * time.Second)

	// Then the placement is as it was.
	if diff := cmp.Diff(first, cluster.placement()); diff != "" {
		t.Errorf("placement (-before +after):\n%s", diff)
	}
}

func TestPlacement_RestartOfAll_Unchanged(t *testing.T) {
	// Given that everything lost power, and stores that come back later than the controllers.
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	first := cluster.placement()
	turns := turnsOf(cluster, 0)
	for _, m := range cluster.sorted() {
		m.kill()
	}
	cluster.run(2 * time.Second)
	for _, m := range cluster.sorted() {
		if m.controller != nil {
			m.start()
		}
	}
	cluster.run(3500 * time.Millisecond)
	for number := range 5 {
		cluster.storage(number + 1).start()
	}
	cluster.awaitPlacement()

	// Then the placement is as it was, and what was acknowledged is known.
	if diff := cmp.Diff(first, cluster.placement()); diff != "" {
		t.Errorf("placement (-before +after):\n%s", diff)
	}
	cluster.wantTurns(turns)
}

func TestLostStore_NoSpare_ReplacedAfterTimeout(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	cluster.storage(1).kill()
	cluster.run(deathDelay + 3*time.Second)
	if len(shardsOf(cluster.placement(), "s-1")) == 0 {
		t.Error("replicas moved before their store had time to return")
	}
	cluster.until("groups are complete", 3*time.Second, cluster.isComplete)
	if len(shardsOf(cluster.placement(), "s-1")) != 0 {
		t.Error("a lost store still has replicas")
	}
}

func TestLostStore_SpareRuns_ReplacedSoon(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	cluster.add(storeMember(5)).start()
	cluster.storage(1).kill()
	cluster.run(deathDelay)
	took := cluster.until("groups are complete", 2*time.Second, cluster.isComplete)
	t.Logf("groups are complete %v after the store was taken for dead", took)
	if len(shardsOf(cluster.placement(), "s-5")) == 0 {
		t.Error("the new store has no replicas")
	}
}

func TestWipedStore_ReplacedByItself(t *testing.T) {
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	before := shardsOf(cluster.placement(), "s-2")

	// When a store comes back with an empty disk, its new identity takes the replicas of the old one at once.
	cluster.storage(2).wipe()
	took := cluster.until("groups are complete", 2*time.Second, func() bool {
		return cluster.isComplete() && cmp.Equal(before, shardsOf(cluster.placement(), cluster.storage(2).member.ID))
	})
	t.Logf("whole after %v", took)
	if left := shardsOf(cluster.placement(), "s-2"); len(left) > 0 {
		t.Errorf("shards %v still want the identity that was lost", left)
	}
	cluster.wantTurns(turns)
}

// TestShardLeader_OlderPlacement_UndoesNothing has a store that hears no placements own the groups after a change.
func TestShardLeader_OlderPlacement_UndoesNothing(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()

	// Given a change, and storage-2, which starts again after it and is told only the placement before.
	first := cluster.updates[view.PlacementSection]
	cluster.storage(3).wipe()
	cluster.until("the identity that was lost has left", 3*time.Second, func() bool { return cluster.isComplete() && !cluster.hosts("s-3") })
	behind := cluster.storage(2)
	behind.staleUpdate = &first
	behind.kill()
	cluster.run(900 * time.Millisecond)
	behind.start()
	cluster.until("groups are complete", 3*time.Second, cluster.isComplete)
	after := cluster.placement()

	// When it leads every group that it is in, one after the other.
	for _, shard := range shardsOf(after, "s-2") {
		for range 20 {
			leader, _ := cluster.shardLeader(shard)
			if leader == behind {
				break
			}
			leader.kill()
			cluster.until("another leader", 5*time.Second, func() bool {
				at, _ := cluster.shardLeader(shard)
				return at != nil && at != leader
			})
			leader.start()
			cluster.until("groups are complete", 5*time.Second, cluster.isComplete)
		}
		if leader, _ := cluster.shardLeader(shard); leader != behind {
			t.Fatalf("storage-2 never owned shard %d", shard)
		}
		cluster.run(3 * time.Second)

		// Then the identity that was lost stays out.
		if cluster.hosts("s-3") {
			t.Fatalf("shard %d: the leader went back to an older placement", shard)
		}
	}
	if !cluster.isComplete() {
		t.Error("groups are not complete")
	}
}

func TestWipedController_ReplacedAtOnce(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	index := cluster.placement().Index
	for _, address := range []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"} {
		m := cluster.machines[address]
		m.wipe()
		cluster.until("the new identity is a voter", 5*time.Second, func() bool {
			leader := cluster.leader()
			return leader != nil && slices.Contains(caughtUp(leader.controller.Group().Status()), m.member.ID)
		})
	}
	if got := cluster.placement().Index; got != index {
		t.Errorf("placement of entry %d, want %d: what was committed is lost", got, index)
	}
	if got := len(cluster.leader().controller.Group().Status().Members); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
}

func TestLostController_ReplacedAtAnotherAddress(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	lost := cluster.machines["10.0.0.1:7000"]
	lost.kill()
	cluster.add(controllerMember("core-4", "core-4-anew", "10.0.0.4:7000", "10.0.0.4:8144")).start()
	cluster.until("the new controller is a voter", 10*time.Second, func() bool {
		leader := cluster.leader()
		return leader != nil && slices.Contains(caughtUp(leader.controller.Group().Status()), "core-4-anew")
	})
	if got := len(cluster.leader().controller.Group().Status().Members); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
}

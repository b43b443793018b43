package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/view"
)

// shardsOf lists the shards that have a replica with this identity in the placement.
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

	// Given a store that joins, and another one that is down for a short time.
	cluster.add(storeMember(5)).start()
	cluster.run(2 * time.Second)
	cluster.storage(1).kill()
	cluster.run(500 * time.Millisecond)
	cluster.storage(1).start()
	cluster.run(6 * time.Second)

	// Then the placement is unchanged.
	if diff := cmp.Diff(first, cluster.placement()); diff != "" {
		t.Errorf("placement (-before +after):\n%s", diff)
	}
}

func TestPlacement_RestartOfAll_Unchanged(t *testing.T) {
	// Given that all machines are killed, and stores that restart later than the controllers.
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

	// Then the placement is unchanged, and no acknowledged turn is lost.
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
		t.Error("replicas moved before the time-out of their lost store")
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
	t.Logf("groups are complete %v after membership considered the store dead", took)
	if len(shardsOf(cluster.placement(), "s-5")) == 0 {
		t.Error("the new store has no replicas")
	}
}

func TestWipedStore_ReplacedByItself(t *testing.T) {
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	before := shardsOf(cluster.placement(), "s-2")

	// When a store returns with an empty disk, then its new identity gets the replicas of the old one at once.
	cluster.storage(2).wipe()
	took := cluster.until("groups are complete", 2*time.Second, func() bool {
		return cluster.isComplete() && cmp.Equal(before, shardsOf(cluster.placement(), cluster.storage(2).member.ID))
	})
	t.Logf("groups are complete after %v", took)
	if left := shardsOf(cluster.placement(), "s-2"); len(left) > 0 {
		t.Errorf("shards %v still have the lost identity in their placement", left)
	}
	cluster.wantTurns(turns)
}

// TestShardLeader_OlderPlacement_UndoesNothing has a store that knows only an older placement lead groups after the placement changed.
func TestShardLeader_OlderPlacement_UndoesNothing(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()

	// Given a change of the placement, and storage-2, which restarts after it and gets only the placement before it.
	first := cluster.updates[view.PlacementSection]
	cluster.storage(3).wipe()
	cluster.until("the lost identity is no longer a member", 3*time.Second, func() bool { return cluster.isComplete() && !cluster.hosts("s-3") })
	stale := cluster.storage(2)
	stale.staleUpdate = &first
	stale.kill()
	cluster.run(900 * time.Millisecond)
	stale.start()
	cluster.until("groups are complete", 3*time.Second, cluster.isComplete)
	after := cluster.placement()

	// When storage-2 leads each of its groups, one after the other.
	for _, shard := range shardsOf(after, "s-2") {
		for range 20 {
			leader, _ := cluster.shardLeader(shard)
			if leader == stale {
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
		if leader, _ := cluster.shardLeader(shard); leader != stale {
			t.Fatalf("storage-2 never led shard %d", shard)
		}
		cluster.run(3 * time.Second)

		// Then the lost identity doesn't become a member again.
		if cluster.hosts("s-3") {
			t.Fatalf("shard %d: the leader applied an older placement", shard)
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
		t.Errorf("placement of entry %d, want %d: the committed placement is lost", got, index)
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

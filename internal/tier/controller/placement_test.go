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
	c := newCluster(t, 4)
	c.awaitPlacement()
	first := c.placement()

	// Given a new store, and one that is down for a short while.
	c.add(storeMember(5)).start()
	c.run(2 * time.Second)
	c.storage(1).kill()
	c.run(500 * time.Millisecond)
	c.storage(1).start()
	c.run(6 * time.Second)

	// Then the placement is as it was.
	if diff := cmp.Diff(first, c.placement()); diff != "" {
		t.Errorf("placement (-before +after):\n%s", diff)
	}
}

func TestPlacement_RestartOfAll_Unchanged(t *testing.T) {
	// Given that everything lost power, and stores that come back later than the controllers.
	c := newCluster(t, 5)
	c.awaitPlacement()
	first := c.placement()
	turns := turnsOf(c, 0)
	for _, m := range c.sorted() {
		m.kill()
	}
	c.run(2 * time.Second)
	for _, m := range c.sorted() {
		if m.controller != nil {
			m.start()
		}
	}
	c.run(3500 * time.Millisecond)
	for number := range 5 {
		c.storage(number + 1).start()
	}
	c.awaitPlacement()

	// Then the placement is as it was, and what was acknowledged is known.
	if diff := cmp.Diff(first, c.placement()); diff != "" {
		t.Errorf("placement (-before +after):\n%s", diff)
	}
	c.wantTurns(turns)
}

func TestLostStore_NoSpare_ReplacedAfterTimeout(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	c.storage(1).kill()
	c.run(deathDelay + 3*time.Second)
	if len(shardsOf(c.placement(), "s-1")) == 0 {
		t.Error("replicas moved before their store had time to return")
	}
	c.until("groups are complete", 3*time.Second, c.isComplete)
	if len(shardsOf(c.placement(), "s-1")) != 0 {
		t.Error("a lost store still has replicas")
	}
}

func TestLostStore_SpareRuns_ReplacedSoon(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	c.add(storeMember(5)).start()
	c.storage(1).kill()
	c.run(deathDelay)
	took := c.until("groups are complete", 2*time.Second, c.isComplete)
	t.Logf("groups are complete %v after the store was taken for dead", took)
	if len(shardsOf(c.placement(), "s-5")) == 0 {
		t.Error("the new store has no replicas")
	}
}

func TestWipedStore_ReplacedByItself(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitPlacement()
	turns := turnsOf(c, 0)
	before := shardsOf(c.placement(), "s-2")

	// When a store comes back with an empty disk, its new identity takes the replicas of the old one at once.
	c.storage(2).wipe()
	took := c.until("groups are complete", 2*time.Second, func() bool {
		return c.isComplete() && cmp.Equal(before, shardsOf(c.placement(), c.storage(2).member.ID))
	})
	t.Logf("whole after %v", took)
	if left := shardsOf(c.placement(), "s-2"); len(left) > 0 {
		t.Errorf("shards %v still want the identity that was lost", left)
	}
	c.wantTurns(turns)
}

// TestShardLeader_OlderPlacement_UndoesNothing has a store that hears no placements own the groups after a change.
func TestShardLeader_OlderPlacement_UndoesNothing(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()

	// Given a change, and storage-2, which starts again after it and is told only the placement before.
	first := c.updates[view.PlacementSection]
	c.storage(3).wipe()
	c.until("the identity that was lost has left", 3*time.Second, func() bool { return c.isComplete() && !c.hosts("s-3") })
	behind := c.storage(2)
	behind.staleUpdate = &first
	behind.kill()
	c.run(900 * time.Millisecond)
	behind.start()
	c.until("groups are complete", 3*time.Second, c.isComplete)
	after := c.placement()

	// When it leads every group that it is in, one after the other.
	for _, shard := range shardsOf(after, "s-2") {
		for range 20 {
			leader, _ := c.shardLeader(shard)
			if leader == behind {
				break
			}
			leader.kill()
			c.until("another leader", 5*time.Second, func() bool {
				at, _ := c.shardLeader(shard)
				return at != nil && at != leader
			})
			leader.start()
			c.until("groups are complete", 5*time.Second, c.isComplete)
		}
		if leader, _ := c.shardLeader(shard); leader != behind {
			t.Fatalf("storage-2 never owned shard %d", shard)
		}
		c.run(3 * time.Second)

		// Then the identity that was lost stays out.
		if c.hosts("s-3") {
			t.Fatalf("shard %d: the leader went back to an older placement", shard)
		}
	}
	if !c.isComplete() {
		t.Error("groups are not complete")
	}
}

func TestWipedController_ReplacedAtOnce(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	index := c.placement().Index
	for _, address := range []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"} {
		m := c.machines[address]
		m.wipe()
		c.until("the new identity is a voter", 5*time.Second, func() bool {
			leader := c.leader()
			return leader != nil && slices.Contains(caughtUp(leader.controller.Group().Status()), m.member.ID)
		})
	}
	if got := c.placement().Index; got != index {
		t.Errorf("placement of entry %d, want %d: what was committed is lost", got, index)
	}
	if got := len(c.leader().controller.Group().Status().Members); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
}

func TestLostController_ReplacedAtAnotherAddress(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	lost := c.machines["10.0.0.1:7000"]
	lost.kill()
	c.add(controllerMember("core-4", "core-4-anew", "10.0.0.4:7000", "10.0.0.4:8144")).start()
	c.until("the new controller is a voter", 10*time.Second, func() bool {
		leader := c.leader()
		return leader != nil && slices.Contains(caughtUp(leader.controller.Group().Status()), "core-4-anew")
	})
	if got := len(c.leader().controller.Group().Status().Members); got != 3 {
		t.Errorf("%d members, want 3", got)
	}
}

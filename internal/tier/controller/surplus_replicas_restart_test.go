package controller

import (
	"testing"
	"time"
)

// TestRestartedStore_SurplusReplicas_NotLoaded has a store that gave replicas up lose its power.
func TestRestartedStore_SurplusReplicas_NotLoaded(t *testing.T) {
	// Given a store that has stopped the replicas that others have now,
	c := newCluster(t, 5)
	c.awaitPlacement()
	c.storage(1).kill()
	c.run(deathDelay + 6*time.Second)
	c.until("groups are complete", 5*time.Second, c.isComplete)
	c.storage(1).start()
	c.until("no store holds more than it is to hold", 10*time.Second, func() bool { return c.hasSurplusReplicas() == "" })

	// when it starts again, then it doesn't begin with them.
	c.storage(1).kill()
	c.run(clusterStep)
	c.storage(1).start()
	loaded, _ := c.storage(1).store.Stats()
	if target := len(shardsOf(c.placement(), c.storage(1).member.ID)); loaded > target {
		t.Errorf("the store reads %d replicas at its start, and should read %d", loaded, target)
	}
}

// TestStores_StopAndReturnInAnyOrder_NoSurplus has placements change while replicas that have moved away are being stopped: the machines under
// the same identity are lost to the group and wanted again, at all distances around the review.
func TestStores_StopAndReturnInAnyOrder_NoSurplus(t *testing.T) {
	for away := 0 * time.Millisecond; away <= 4*time.Second; away += 200 * time.Millisecond {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 5)
			c.awaitPlacement()
			turns := turnsOf(c, 0)
			c.storage(1).kill()
			c.run(deathDelay + 6*time.Second)
			c.until("groups are complete", 5*time.Second, c.isComplete)
			c.storage(1).start()
			c.run(away)
			c.storage(2).kill()
			c.run(deathDelay + 6*time.Second)
			c.storage(2).start()
			c.until("groups are complete again", 10*time.Second, c.isComplete)
			c.until("no store holds more than it is to hold", 10*time.Second, func() bool { return c.hasSurplusReplicas() == "" })
			c.wantTurns(turns)
		})
	}
}

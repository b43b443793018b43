package controller

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/decommission"
)

// turnsOf has some turns taken by each shard.
func turnsOf(c *cluster, from int) map[string]int {
	turns := map[string]int{}
	for shard := range c.placement().Shards {
		for number := range 3 {
			turns[c.beginTurn(shard, from+number)] = shard
		}
	}
	return turns
}

func TestDecommission_Drained_MachineMayBeRemoved(t *testing.T) {
	for number := 1; number <= 4; number++ {
		t.Run(fmt.Sprintf("storage-%d", number), func(t *testing.T) {
			// Given four stores with turns that were acknowledged.
			c := newCluster(t, 4)
			c.awaitPlacement()
			turns := turnsOf(c, 0)

			// When one of them is to be drained.
			leaving := c.storage(number)
			if got := c.decommission(fmt.Sprintf("storage-%d", number)); got != decommission.Accepted {
				t.Fatalf("order was %v", got)
			}
			took := c.until("the machine is empty", 5*time.Second, c.isFinished(fmt.Sprintf("storage-%d", number)))
			t.Logf("drained after %v", took)

			// Then no group needs it, and all groups are complete.
			if c.hosts(leaving.member.ID) || !c.isComplete() {
				t.Error("finished while something depends on the machine")
			}

			// And when it goes at once with its disk, and the others lose their disks one after the other, nothing is lost.
			leaving.kill()
			delete(c.machines, leaving.member.Address)
			for other := 1; other <= 4; other++ {
				if other != number {
					c.storage(other).wipe()
					c.run(500 * time.Millisecond)
					c.until("groups are complete again", 4*time.Second, c.isComplete)
				}
			}
			c.wantTurns(turns)
		})
	}
}

func TestDecommission_TwoMachinesAtOnce_BothDrained(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitPlacement()
	turns := turnsOf(c, 0)
	for _, node := range []string{"storage-1", "storage-2"} {
		if got := c.decommission(node); got != decommission.Accepted {
			t.Fatalf("order about %s was %v", node, got)
		}
	}
	if got := c.decommission("storage-3"); got != decommission.TooFewStores {
		t.Errorf("a third order was %v, want %v", got, decommission.TooFewStores)
	}
	c.until("the first is empty", 5*time.Second, c.isFinished("storage-1"))
	c.until("the second is empty", 5*time.Second, c.isFinished("storage-2"))
	if c.hosts("s-1") || c.hosts("s-2") || !c.isComplete() {
		t.Error("finished while something depends on the machines")
	}
	c.storage(1).kill()
	c.storage(2).kill()
	c.wantTurns(turns)
}

func TestDecommission_AnotherStoreDown_Waits(t *testing.T) {
	// Given four stores of which one is down, and an order to empty another.
	c := newCluster(t, 4)
	c.awaitPlacement()
	down := c.storage(2)
	down.kill()
	c.run(100 * time.Millisecond)
	if got := c.decommission("storage-1"); got != decommission.Accepted {
		t.Fatalf("order was %v", got)
	}

	// Then it isn't finished as long as groups have fewer than three replicas that have caught up.
	for range 40 {
		c.run(100 * time.Millisecond)
		if c.decommissionState("storage-1") != decommission.InService {
			t.Fatalf("state %v while a store is down", c.decommissionState("storage-1"))
		}
	}

	// But it is once that store is back.
	down.start()
	c.until("the machine is empty", 8*time.Second, c.isFinished("storage-1"))
	if c.hosts("s-1") || !c.isComplete() {
		t.Error("finished while something depends on the machine")
	}
}

func TestDecommission_MachineDown_Drained(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	turns := turnsOf(c, 0)
	c.storage(1).kill()
	c.run(100 * time.Millisecond)
	if got := c.decommission("storage-1"); got != decommission.Accepted {
		t.Fatalf("order was %v", got)
	}
	c.until("the machine is empty", 8*time.Second, c.isFinished("storage-1"))
	if c.hosts("s-1") || !c.isComplete() {
		t.Error("finished while something depends on the machine")
	}
	c.wantTurns(turns)
}

func TestDecommission_LeaderChanges_Completes(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			// Given an order whose leader is killed while it is carried out, or right after its end.
			c := newCluster(t, 4)
			c.awaitPlacement()
			c.decommission("storage-1")
			c.run(pause)
			c.leader().kill()
			c.until("the machine is empty", 8*time.Second, c.isFinished("storage-1"))

			// When all controllers start again.
			for _, m := range c.sorted() {
				if m.controller != nil {
					if m.running {
						m.kill()
					}
					m.start()
				}
			}
			c.until("a leader", 5*time.Second, func() bool { return c.leader() != nil })

			// Then the order is still finished, and the machine gets no replicas though it still runs.
			if got := c.decommissionState("storage-1"); got != decommission.Finished {
				t.Errorf("state %v after a restart", got)
			}
			if got := c.decommission("storage-1"); got != decommission.Accepted {
				t.Errorf("the same order again was %v", got)
			}
			c.run(6 * time.Second)
			if c.hosts("s-1") || !c.isComplete() {
				t.Error("a decommissioned machine has replicas")
			}
		})
	}
}

func TestDecommission_MachineReturnsWithNewIdentity_GetsReplicas(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	c.decommission("storage-1")
	c.until("the machine is empty", 5*time.Second, c.isFinished("storage-1"))

	// Given that the machine comes back with an empty disk, and another is lost.
	c.storage(1).wipe()
	c.storage(2).kill()

	// Then it takes that one's replicas, under its new identity.
	c.run(time.Second)
	c.until("groups are complete", 8*time.Second, c.isComplete)
	if !c.hosts(c.storage(1).member.ID) {
		t.Error("the new identity of the machine has no replicas")
	}
}

package controller

import (
	"fmt"
	"testing"
	"time"

	"mastusher/internal/tier/decommission"
)

// turnsOf begins some turns on each shard, and returns their shards by name.
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
			// Given four stores with acknowledged turns.
			cluster := newCluster(t, 4)
			cluster.awaitPlacement()
			turns := turnsOf(cluster, 0)

			// When one of them is drained.
			leaving := cluster.storage(number)
			if got := cluster.decommission(fmt.Sprintf("storage-%d", number)); got != decommission.Accepted {
				t.Fatalf("the result of the order is %v", got)
			}
			took := cluster.until("the machine is drained", 5*time.Second, cluster.isFinished(fmt.Sprintf("storage-%d", number)))
			t.Logf("drained after %v", took)

			// Then no group has it as a member, and all groups are complete.
			if cluster.hosts(leaving.member.ID) || !cluster.isComplete() {
				t.Error("finished while a group still depends on the machine, or isn't complete")
			}

			// And when it is removed at once with its disk, and the others lose their disks one after the other, no turn is lost.
			leaving.kill()
			delete(cluster.machines, leaving.member.Address)
			for other := 1; other <= 4; other++ {
				if other != number {
					cluster.storage(other).wipe()
					cluster.run(500 * time.Millisecond)
					cluster.until("groups are complete again", 4*time.Second, cluster.isComplete)
				}
			}
			cluster.wantTurns(turns)
		})
	}
}

func TestDecommission_TwoMachinesAtOnce_BothDrained(t *testing.T) {
	cluster := newCluster(t, 5)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	for _, node := range []string{"storage-1", "storage-2"} {
		if got := cluster.decommission(node); got != decommission.Accepted {
			t.Fatalf("the result for %s is %v", node, got)
		}
	}
	if got := cluster.decommission("storage-3"); got != decommission.TooFewStores {
		t.Errorf("the result for a third machine is %v, want %v", got, decommission.TooFewStores)
	}
	cluster.until("the first machine is drained", 5*time.Second, cluster.isFinished("storage-1"))
	cluster.until("the second machine is drained", 5*time.Second, cluster.isFinished("storage-2"))
	if cluster.hosts("s-1") || cluster.hosts("s-2") || !cluster.isComplete() {
		t.Error("finished while a group still depends on the machines, or isn't complete")
	}
	cluster.storage(1).kill()
	cluster.storage(2).kill()
	cluster.wantTurns(turns)
}

func TestDecommission_AnotherStoreDown_Waits(t *testing.T) {
	// Given four stores, one of which is down, and an order to drain another.
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	down := cluster.storage(2)
	down.kill()
	cluster.run(100 * time.Millisecond)
	if got := cluster.decommission("storage-1"); got != decommission.Accepted {
		t.Fatalf("the result of the order is %v", got)
	}

	// Then the operation isn't finished as long as groups have fewer than three replicas that have caught up.
	for range 40 {
		cluster.run(100 * time.Millisecond)
		if cluster.decommissionState("storage-1") != decommission.InService {
			t.Fatalf("state %v while another store is down", cluster.decommissionState("storage-1"))
		}
	}

	// But it is finished once that store is back.
	down.start()
	cluster.until("the machine is drained", 8*time.Second, cluster.isFinished("storage-1"))
	if cluster.hosts("s-1") || !cluster.isComplete() {
		t.Error("finished while a group still depends on the machine, or isn't complete")
	}
}

func TestDecommission_MachineDown_Drained(t *testing.T) {
	cluster := newCluster(t, 4)
	cluster.awaitPlacement()
	turns := turnsOf(cluster, 0)
	cluster.storage(1).kill()
	cluster.run(100 * time.Millisecond)
	if got := cluster.decommission("storage-1"); got != decommission.Accepted {
		t.Fatalf("the result of the order is %v", got)
	}
	cluster.until("the machine is drained", 8*time.Second, cluster.isFinished("storage-1"))
	if cluster.hosts("s-1") || !cluster.isComplete() {
		t.Error("finished while a group still depends on the machine, or isn't complete")
	}
	cluster.wantTurns(turns)
}

func TestDecommission_LeaderChanges_Completes(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			// Given an operation whose leader is killed while it is in service, or right after its end.
			cluster := newCluster(t, 4)
			cluster.awaitPlacement()
			cluster.decommission("storage-1")
			cluster.run(pause)
			cluster.leader().kill()
			cluster.until("the machine is drained", 8*time.Second, cluster.isFinished("storage-1"))

			// When all controllers restart.
			for _, m := range cluster.sorted() {
				if m.controller != nil {
					if m.running {
						m.kill()
					}
					m.start()
				}
			}
			cluster.until("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })

			// Then the operation is still finished, and the machine gets no replicas though it still runs.
			if got := cluster.decommissionState("storage-1"); got != decommission.Finished {
				t.Errorf("state %v after a restart", got)
			}
			if got := cluster.decommission("storage-1"); got != decommission.Accepted {
				t.Errorf("the result of a duplicate is %v", got)
			}
			cluster.run(6 * time.Second)
			if cluster.hosts("s-1") || !cluster.isComplete() {
				t.Error("a decommissioned machine has replicas")
			}
		})
	}
}

// newDrainedCluster returns a cluster with four stores, the first of which has been drained.
func newDrainedCluster(t *testing.T) *cluster {
	t.Helper()
	drained := newCluster(t, 4)
	drained.awaitPlacement()
	drained.decommission("storage-1")
	drained.until("the machine is drained", 5*time.Second, drained.isFinished("storage-1"))
	return drained
}

func TestDecommission_MachineReturnsWithNewIdentity_GetsReplicas(t *testing.T) {
	cluster := newDrainedCluster(t)

	// Given that the machine returns with an empty disk, and another one is lost.
	cluster.storage(1).wipe()
	cluster.storage(2).kill()

	// Then the machine gets the other's replicas, under its new identity.
	cluster.run(time.Second)
	cluster.until("groups are complete", 8*time.Second, cluster.isComplete)
	if !cluster.hosts(cluster.storage(1).member.ID) {
		t.Error("the new identity of the machine has no replicas")
	}
}

package controller

import (
	"net/http"
	"testing"
	"time"

	"mastusher/internal/tier/decommission"
)

// TestDecommissionOrder_AnswerLostAtAnyStep_Idempotent has the leader fail in each way while an order to drain a machine is being
// committed: the order is acknowledged, carried out once, and acknowledged again after its end.
func TestDecommissionOrder_AnswerLostAtAnyStep_Idempotent(t *testing.T) {
	t.Parallel()
	const path = "/mastusher/retire/storage-1"
	for _, failure := range leaderFailures {
		runInVirtualTime(t, failure.name, func(t *testing.T) {
			for _, step := range []int{2, 5, 8, 11} {
				cluster := newFaultyCluster(t, uint64(step), 4)
				cluster.wait("the stores are complete", 15*time.Second, cluster.cluster.isComplete)
				event := func(now int) {
					if now == step {
						failure.inject(cluster, cluster.leader())
					}
					if now == step+200 {
						cluster.heal()
					}
				}
				order := func(o *operator) {
					wantAcknowledged(t, o, "decommissioning", func() reply { return o.call(http.MethodPost, path, `{"overS":10}`) })
				}
				cluster.runOperators(event, order, order)
				cluster.heal()
				cluster.wait("the machine is drained", 20*time.Second, cluster.isFinished("storage-1"))
				cluster.runOperators(func(int) {}, order)
				if cluster.decommissionState("storage-1") != decommission.Finished || cluster.hosts("s-1") {
					t.Errorf("leader failed at step %d: after a duplicate the state of the machine is %s, or it has replicas", step, cluster.decommissionState("storage-1"))
				}
			}
		})
	}
}

// TestDecommissionOrder_DuplicateAfterEnd_Acknowledged repeats an order after the machine has returned with an empty disk, and after it
// has been removed.
func TestDecommissionOrder_DuplicateAfterEnd_Acknowledged(t *testing.T) {
	cluster := newDrainedCluster(t)

	// Given that the drained machine has returned with an empty disk, and that too few machines would remain without it.
	cluster.storage(1).wipe()
	cluster.storage(2).kill()
	cluster.run(2 * deathDelay)

	// When the order is sent again, to another leader, then it is acknowledged.
	first := cluster.leader()
	first.kill()
	cluster.until("another leader", 5*time.Second, func() bool { return cluster.leader() != nil && cluster.leader() != first })
	if got := cluster.decommission("storage-1"); got != decommission.Accepted {
		t.Errorf("the result of a duplicate is %v", got)
	}

	// It is also acknowledged after the machine has been removed and all controllers have restarted without seeing it.
	cluster.storage(1).kill()
	delete(cluster.machines, storeMember(1).Address)
	for _, m := range cluster.sorted() {
		if m.controller != nil {
			m.kill()
			m.start()
		}
	}
	if got := cluster.decommission("storage-1"); got != decommission.Accepted {
		t.Errorf("the result of a duplicate for a removed machine is %v", got)
	}
}

package controller

import (
	"net/http"
	"testing"
	"time"

	"mastusher/internal/tier/decommission"
)

// TestDecommissionOrder_AnswerLostAtAnyStep_Idempotent is the same for an order to empty a machine: it is acknowledged, carried out once, and
// acknowledged again after its end.
func TestDecommissionOrder_AnswerLostAtAnyStep_Idempotent(t *testing.T) {
	t.Parallel()
	const path = "/mastusher/retire/storage-1"
	for _, loss := range losses {
		runInVirtualTime(t, loss.name, func(t *testing.T) {
			for _, step := range []int{2, 5, 8, 11} {
				cluster := newFaultyCluster(t, uint64(step), 4)
				cluster.wait("the stores are complete", 15*time.Second, cluster.cluster.isComplete)
				event := func(now int) {
					if now == step {
						loss.lose(cluster, cluster.leader())
					}
					if now == step+200 {
						cluster.heal()
					}
				}
				order := func(o *operator) {
					wantAcknowledged(t, o, "retiring", func() reply { return o.call(http.MethodPost, path, `{"overS":10}`) })
				}
				cluster.runOperators(event, order, order)
				cluster.heal()
				cluster.wait("the machine is empty", 20*time.Second, cluster.isFinished("storage-1"))
				cluster.runOperators(func(int) {}, order)
				if cluster.decommissionState("storage-1") != decommission.Finished || cluster.hosts("s-1") {
					t.Errorf("at step %d: after a duplicate the machine is %s", step, cluster.decommissionState("storage-1"))
				}
			}
		})
	}
}

// TestDecommissionOrder_DuplicateAfterEnd_Acknowledged repeats an order when the machine has gone, and when it has come back anew.
func TestDecommissionOrder_DuplicateAfterEnd_Acknowledged(t *testing.T) {
	cluster := newDrainedCluster(t)

	// Given that too few machines would remain without another one, the machine has come back with an empty disk.
	cluster.storage(1).wipe()
	cluster.storage(2).kill()
	cluster.run(2 * deathDelay)

	// When the order comes again, to another leader, then it is acknowledged.
	first := cluster.leader()
	first.kill()
	cluster.until("another leader", 5*time.Second, func() bool { return cluster.leader() != nil && cluster.leader() != first })
	if got := cluster.decommission("storage-1"); got != decommission.Accepted {
		t.Errorf("a duplicate is %v", got)
	}

	// And when the machine has gone, and no controller that runs has ever heard of it.
	cluster.storage(1).kill()
	delete(cluster.machines, storeMember(1).Address)
	for _, m := range cluster.sorted() {
		if m.controller != nil {
			m.kill()
			m.start()
		}
	}
	if got := cluster.decommission("storage-1"); got != decommission.Accepted {
		t.Errorf("a duplicate about a machine that has gone is %v", got)
	}
}

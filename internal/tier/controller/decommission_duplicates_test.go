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
				c := newFaultyCluster(t, uint64(step), 4)
				c.wait("the stores are complete", 15*time.Second, c.cluster.isComplete)
				event := func(now int) {
					if now == step {
						loss.lose(c, c.leader())
					}
					if now == step+200 {
						c.heal()
					}
				}
				order := func(o *operator) {
					wantAcknowledged(t, o, "retiring", func() reply { return o.call(http.MethodPost, path, `{"overS":10}`) })
				}
				c.runOperators(event, order, order)
				c.heal()
				c.wait("the machine is empty", 20*time.Second, c.isFinished("storage-1"))
				c.runOperators(func(int) {}, order)
				if c.decommissionState("storage-1") != decommission.Finished || c.hosts("s-1") {
					t.Errorf("at step %d: after a duplicate the machine is %s", step, c.decommissionState("storage-1"))
				}
			}
		})
	}
}

// TestDecommissionOrder_DuplicateAfterEnd_Acknowledged repeats an order when the machine has gone, and when it has come back anew.
func TestDecommissionOrder_DuplicateAfterEnd_Acknowledged(t *testing.T) {
	c := newCluster(t, 4)
	c.awaitPlacement()
	c.decommission("storage-1")
	c.until("the machine is empty", 5*time.Second, c.isFinished("storage-1"))

	// Given that too few machines would remain without another one, the machine has come back with an empty disk.
	c.storage(1).wipe()
	c.storage(2).kill()
	c.run(2 * deathDelay)

	// When the order comes again, to another leader, then it is acknowledged.
	first := c.leader()
	first.kill()
	c.until("another leader", 5*time.Second, func() bool { return c.leader() != nil && c.leader() != first })
	if got := c.decommission("storage-1"); got != decommission.Accepted {
		t.Errorf("a duplicate is %v", got)
	}

	// And when the machine has gone, and no controller that runs has ever heard of it.
	c.storage(1).kill()
	delete(c.machines, storeMember(1).Address)
	for _, m := range c.sorted() {
		if m.controller != nil {
			m.kill()
			m.start()
		}
	}
	if got := c.decommission("storage-1"); got != decommission.Accepted {
		t.Errorf("a duplicate about a machine that has gone is %v", got)
	}
}

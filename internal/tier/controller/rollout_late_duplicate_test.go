package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
)

// TestRolloutOrder_LateDuplicate_StartsNoSecondRollout has v2 ordered, v3 after it, and v2 again: within confirmMs that is a duplicate, long after it is an
// order to go back. What ends in reverting is attempted again.
func TestRolloutOrder_LateDuplicate_StartsNoSecondRollout(t *testing.T) {
	t.Parallel()
	for _, end := range []rollout.State{rollout.Finished, rollout.Reverted} {
		for _, interlude := range interludes {
			runInVirtualTime(t, fmt.Sprint(end, ", ", interlude.name), func(t *testing.T) {
				cluster := rolloutOrders{newFaultyCluster(t, 1, 0)}
				cluster.agree(Command{ObservedVersion: &rollout.ObservedVersion{Service: "lm", Version: "v1"}})

				// Given v2, which has ended, and v3, which is in progress.
				cluster.order("v2", http.StatusOK)
				cluster.decide(end)
				cluster.order("v3", http.StatusOK)

				// When v2 comes again soon, then it is acknowledged and changes nothing; another order has to wait.
				interlude.pass(cluster.faultyCluster)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v3", rollout.InService)
				cluster.order("v4", http.StatusConflict)

				// When v3 has ended, then a duplicate of v2 or v3 changes nothing either.
				cluster.decide(rollout.Finished)
				cluster.order("v2", http.StatusOK)
				cluster.order("v3", http.StatusOK)
				cluster.wantNewest("v3", rollout.Finished)

				// When v2 is ordered long after, then it is rolled out, and its own duplicate is one.
				cluster.passBy(dedupWindow + 6*time.Second)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v2", rollout.InService)
				cluster.decide(rollout.Reverted)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v2", rollout.Reverted)
				cluster.passBy(dedupWindow + 6*time.Second)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v2", rollout.InService)
			})
		}
	}
}

// dedupWindow is confirmMs and stretchMs, as they are where the settings have none.
const dedupWindow = 9 * time.Second

// rolloutOrders is a cluster at which an operator orders roll-outs of one service.
type rolloutOrders struct{ *faultyCluster }

// order sends an order until its answer is a clear one, which must be the wanted one.
func (c rolloutOrders) order(target string, want int) {
	c.t.Helper()
	body := fmt.Sprintf(`{"service":"lm","target":%q,"overS":60}`, target)
	c.runOperators(func(int) {}, func(o *operator) {
		ended := o.retryUntilClear(maxClearAttempts, func() bool {
			got := o.call(http.MethodPost, rolloutsPath, body)
			if isClear := got.status != 0 && got.status != http.StatusServiceUnavailable && got.status != http.StatusGatewayTimeout; !isClear {
				return false
			}
			if got.status != want {
				c.t.Errorf("the order for %s is answered by %d %s, want %d", target, got.status, got.body, want)
			}
			return true
		})
		if !ended {
			c.t.Errorf("the order for %s has no clear answer", target)
		}
	})
}

// decide ends the newest roll-out.
func (c rolloutOrders) decide(state rollout.State) {
	c.t.Helper()
	newest, _ := c.leader().controller.state.rollouts.Rollout("lm")
	c.agree(Command{RolloutDecision: &rollout.Decision{Service: "lm", Target: newest.Target, Order: newest.Index, State: state}})
}

func (c rolloutOrders) wantNewest(target string, state rollout.State) {
	c.t.Helper()
	c.wait("a leader", 5*time.Second, func() bool { return c.leader() != nil })
	if newest, _ := c.leader().controller.state.rollouts.Rollout("lm"); newest.Target != target || newest.State != state {
		c.t.Errorf("the newest order is for %s and %s, want %s and %s", newest.Target, newest.State, target, state)
	}
}

package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
)

// TestRolloutOrder_LateDuplicate_StartsNoSecondRollout orders v2, then v3, and then v2 again: within the dedup window that is a
// duplicate, after it an order to go back. A reverted roll-out may be ordered again after the window.
func TestRolloutOrder_LateDuplicate_StartsNoSecondRollout(t *testing.T) {
	t.Parallel()
	for _, end := range []rollout.State{rollout.Finished, rollout.Reverted} {
		for _, disturbance := range disturbances {
			runInVirtualTime(t, fmt.Sprint(end, ", ", disturbance.name), func(t *testing.T) {
				cluster := rolloutOrders{newFaultyCluster(t, 1, 0)}
				cluster.commit(Command{ObservedVersion: &rollout.ObservedVersion{Service: "lm", Version: "v1"}})

				// Given v2, which has ended, and v3, which is in progress.
				cluster.order("v2", http.StatusOK)
				cluster.decide(end)
				cluster.order("v3", http.StatusOK)

				// When v2 is ordered again soon, then that is acknowledged and changes nothing; an order for v4 is rejected.
				disturbance.apply(cluster.faultyCluster)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v3", rollout.InService)
				cluster.order("v4", http.StatusConflict)

				// When v3 has ended, then a duplicate of v2 or v3 changes nothing either.
				cluster.decide(rollout.Finished)
				cluster.order("v2", http.StatusOK)
				cluster.order("v3", http.StatusOK)
				cluster.wantNewest("v3", rollout.Finished)

				// When v2 is ordered long after, then it is rolled out, and a duplicate of that order changes nothing.
				cluster.advance(dedupWindow + 6*time.Second)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v2", rollout.InService)
				cluster.decide(rollout.Reverted)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v2", rollout.Reverted)
				cluster.advance(dedupWindow + 6*time.Second)
				cluster.order("v2", http.StatusOK)
				cluster.wantNewest("v2", rollout.InService)
			})
		}
	}
}

// dedupWindow is the sum of the defaults of the settings confirmMs and stretchMs.
const dedupWindow = 9 * time.Second

// rolloutOrders is a cluster with an operator that orders roll-outs of one service.
type rolloutOrders struct{ *faultyCluster }

// order repeats an order until the response is conclusive, and checks its status.
func (c rolloutOrders) order(target string, want int) {
	c.t.Helper()
	body := fmt.Sprintf(`{"service":"lm","target":%q,"overS":60}`, target)
	c.runOperators(func(int) {}, func(o *operator) {
		ended := o.retryUntilConclusive(maxConclusiveAttempts, func() bool {
			got := o.call(http.MethodPost, rolloutsPath, body)
			if isConclusive := got.status != 0 && got.status != http.StatusServiceUnavailable && got.status != http.StatusGatewayTimeout; !isConclusive {
				return false
			}
			if got.status != want {
				c.t.Errorf("the order for %s got status %d %s, want %d", target, got.status, got.body, want)
			}
			return true
		})
		if !ended {
			c.t.Errorf("the order for %s has no conclusive response", target)
		}
	})
}

// decide ends the newest roll-out.
func (c rolloutOrders) decide(state rollout.State) {
	c.t.Helper()
	newest, _ := c.leader().controller.state.rollouts.Rollout("lm")
	c.commit(Command{RolloutDecision: &rollout.Decision{Service: "lm", Target: newest.Target, ProposalIndex: newest.Index, State: state}})
}

func (c rolloutOrders) wantNewest(target string, state rollout.State) {
	c.t.Helper()
	c.wait("a leader", 5*time.Second, func() bool { return c.leader() != nil })
	if newest, _ := c.leader().controller.state.rollouts.Rollout("lm"); newest.Target != target || newest.State != state {
		c.t.Errorf("the newest roll-out is of %s and %s, want %s and %s", newest.Target, newest.State, target, state)
	}
}

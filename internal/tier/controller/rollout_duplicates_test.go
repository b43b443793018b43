package controller

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/settings"
)

// rolloutOperator is an operator that orders roll-outs.
type rolloutOperator struct {
	*operator
	known map[string]*rolloutResponses // by service, target and duration of an order
}

// rolloutResponses counts the responses to an order.
type rolloutResponses struct {
	acknowledged       bool
	rejectedAfterwards int // responses with 409 after one with 200
	calls              int
}

// order sends an order until the response is conclusive, and sometimes duplicates after that, within the setting confirmMs.
func (o *rolloutOperator) order(service, target string, overMs int64) {
	responses := &rolloutResponses{}
	o.known[fmt.Sprint(service, " ", target, " ", overMs)] = responses
	body := fmt.Sprintf(`{"service":%q,"target":%q,"overS":%g}`, service, target, float64(overMs)/1000)
	var none settings.Bounds
	end := time.Now().Add(none.ConfirmWithin())
	for time.Now().Before(end) {
		responses.calls++
		got := o.call(http.MethodPost, rolloutsPath, body)
		switch got.status {
		case http.StatusOK:
			responses.acknowledged = true
		case http.StatusConflict:
			if responses.acknowledged {
				responses.rejectedAfterwards++
			}
			return
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			o.cluster.t.Errorf("unexpected status %d %s", got.status, got.body)
		}
		if responses.acknowledged && o.random.IntN(3) > 0 {
			return
		}
		o.sleep(time.Duration(o.random.IntN(600)) * time.Millisecond)
	}
}

// TestRolloutOrders_DuplicatesInAnyHistory_BeginOnce has operators order roll-outs concurrently, and repeat the orders for as long as
// they may, while roll-outs end, machines have faults and clocks are skewed. Each order has a duration of its own, which identifies it.
func TestRolloutOrders_DuplicatesInAnyHistory_BeginOnce(t *testing.T) {
	t.Parallel()
	calls, acknowledged := 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*histories); seed++ {
		runInVirtualTime(t, fmt.Sprint("seed ", seed), func(t *testing.T) {
			responses, seen := runRollouts(t, seed)
			for name, answered := range responses {
				calls += answered.calls
				if answered.acknowledged {
					acknowledged++
				}
				if got := len(seen[name]); got > 1 || answered.acknowledged && got == 0 {
					t.Errorf("seed %d: order %s, acknowledged: %v, started %d roll-outs", seed, name, answered.acknowledged, got)
				}
				if answered.rejectedAfterwards > 0 {
					t.Errorf("seed %d: order %s was acknowledged and then rejected", seed, name)
				}
			}
		})
	}
	t.Logf("%d histories: %d calls, %d orders acknowledged", *histories, calls, acknowledged)
}

func runRollouts(t testing.TB, seed uint64) (map[string]*rolloutResponses, startedRollouts) {
	const ordersEach = 8
	cluster := newFaultyCluster(t, seed, 0)
	cluster.responseLossRate = []float64{0, 0.1, 0.5}[cluster.random.IntN(3)]
	known := make([]map[string]*rolloutResponses, operatorCount)
	var working sync.WaitGroup
	for number := range operatorCount {
		o := &rolloutOperator{operator: cluster.operator(number), known: map[string]*rolloutResponses{}}
		known[number] = o.known
		working.Add(1)
		go func() {
			defer working.Done()
			o.sleep(0)
			for order := range ordersEach {
				service, target := fmt.Sprint("s", o.random.IntN(2)), fmt.Sprint("v", o.random.IntN(3))
				o.order(service, target, int64(1000*(100*number+order+1)))
				o.sleep(time.Duration(o.random.IntN(300)) * time.Millisecond)
			}
		}()
	}
	seen := startedRollouts{}
	cluster.untilDone(&working, func() {
		cluster.injectRandomFault()
		cluster.decideRollouts()
	}, func() { seen.observe(cluster) })
	all := map[string]*rolloutResponses{}
	for _, each := range known {
		for name, responses := range each {
			all[name] = responses
		}
	}
	return all, seen
}

// decideRollouts ends the roll-outs in service with random outcomes.
func (c *faultyCluster) decideRollouts() {
	leader := c.leader()
	if leader == nil || c.frozen[leader] {
		return
	}
	for _, active := range leader.controller.state.rollouts.Active() {
		state := []rollout.State{rollout.Finished, rollout.Reverted}[c.random.IntN(2)]
		decision := &rollout.Decision{Service: active.Service, Target: active.Target, ProposalIndex: active.Index, State: state}
		leader.controller.Group().ProposeAsync(Command{RolloutDecision: decision}, func(any, error) {})
	}
}

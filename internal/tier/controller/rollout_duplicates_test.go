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

// rolloutOperator is an operator who orders roll-outs.
type rolloutOperator struct {
	*operator
	known map[string]*rolloutAnswers // by what an order names
}

// rolloutAnswers is what an order was answered.
type rolloutAnswers struct {
	taken            bool
	refusedThereupon int // answers 409 after it had been taken
	calls            int
}

// order sends an order until it has a clear answer or confirmMs are over, and some more of it until then.
func (o *rolloutOperator) order(service, target string, overMs int64) {
	answers := &rolloutAnswers{}
	o.known[fmt.Sprint(service, " ", target, " ", overMs)] = answers
	body := fmt.Sprintf(`{"service":%q,"target":%q,"overS":%g}`, service, target, float64(overMs)/1000)
	var none settings.Bounds
	end := time.Now().Add(none.ConfirmWithin())
	for time.Now().Before(end) {
		answers.calls++
		got := o.call(http.MethodPost, rolloutsPath, body)
		switch got.status {
		case http.StatusOK:
			answers.taken = true
		case http.StatusConflict:
			if answers.taken {
				answers.refusedThereupon++
			}
			return
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			o.cluster.t.Errorf("answer %d %s", got.status, got.body)
		}
		if answers.taken && o.random.IntN(3) > 0 {
			return
		}
		o.sleep(time.Duration(o.random.IntN(600)) * time.Millisecond)
	}
}

// TestRolloutOrders_DuplicatesInAnyHistory_BeginOnce has operators order roll-outs at once, and repeat them for as long as they may, while roll-outs end,
// machines have faults and clocks go wrong. Each order names a time of its own.
func TestRolloutOrders_DuplicatesInAnyHistory_BeginOnce(t *testing.T) {
	t.Parallel()
	calls, taken := 0, 0
	for seed := *firstSeed; seed < *firstSeed+uint64(*histories); seed++ {
		runInVirtualTime(t, fmt.Sprint("seed ", seed), func(t *testing.T) {
			answers, seen := runRollouts(t, seed)
			for name, answered := range answers {
				calls += answered.calls
				if answered.taken {
					taken++
				}
				if got := len(seen[name]); got > 1 || answered.taken && got == 0 {
					t.Errorf("seed %d: order %s, taken: %v, began %d roll-outs", seed, name, answered.taken, got)
				}
				if answered.refusedThereupon > 0 {
					t.Errorf("seed %d: order %s was taken and then refused", seed, name)
				}
			}
		})
	}
	t.Logf("%d histories: %d calls, %d orders taken", *histories, calls, taken)
}

func runRollouts(t testing.TB, seed uint64) (map[string]*rolloutAnswers, startedRollouts) {
	const ordersEach = 8
	cluster := newFaultyCluster(t, seed, 0)
	cluster.answerLossRate = []float64{0, 0.1, 0.5}[cluster.random.IntN(3)]
	known := make([]map[string]*rolloutAnswers, operatorCount)
	var working sync.WaitGroup
	for number := range operatorCount {
		o := &rolloutOperator{operator: cluster.operator(number), known: map[string]*rolloutAnswers{}}
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
		cluster.decideSome()
	}, func() { seen.observe(cluster) })
	all := map[string]*rolloutAnswers{}
	for _, each := range known {
		for name, answers := range each {
			all[name] = answers
		}
	}
	return all, seen
}

// decideSome ends some of the roll-outs under way.
func (c *faultyCluster) decideSome() {
	leader := c.leader()
	if leader == nil || c.frozen[leader] {
		return
	}
	for _, roll := range leader.controller.state.rollouts.Active() {
		state := []rollout.State{rollout.Finished, rollout.Reverted}[c.random.IntN(2)]
		decision := &rollout.Decision{Service: roll.Service, Target: roll.Target, Order: roll.Index, State: state}
		leader.controller.Group().ProposeAsync(Command{RolloutDecision: decision}, func(any, error) {})
	}
}

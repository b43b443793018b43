package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
)

const (
	maxClearAttempts = 200 // attempts
)

// losses are the ways in which a leader doesn't answer any more.
var losses = []struct {
	name string
	lose func(c *faultyCluster, leader *testMachine)
}{
	{"killed", func(c *faultyCluster, leader *testMachine) { c.restart(leader, false) }},
	{"without power", func(c *faultyCluster, leader *testMachine) { c.restart(leader, true) }},
	{"all without power", func(c *faultyCluster, _ *testMachine) {
		for _, m := range c.controllers() {
			c.restart(m, true)
		}
	}},
	{"cut off", func(c *faultyCluster, leader *testMachine) { c.partition(leader, true, true) }},
	{"unheard", func(c *faultyCluster, leader *testMachine) { c.partition(leader, true, false) }},
	{"deaf", func(c *faultyCluster, leader *testMachine) { c.partition(leader, false, true) }},
	{"frozen", func(c *faultyCluster, leader *testMachine) { c.frozen[leader] = true }},
	{"its disk lost", func(c *faultyCluster, leader *testMachine) { leader.wipe() }},
}

// maxSteps is the number of steps of the cluster within which an order is committed and answered.
const maxSteps = 9

// runOperators has operators do something at once while time passes; at each step of the cluster, event is told how many have passed.
func (c *faultyCluster) runOperators(event func(step int), does ...func(o *operator)) {
	c.t.Helper()
	var working sync.WaitGroup
	for number, do := range does {
		o := c.operator(number)
		working.Add(1)
		go func() {
			defer working.Done()
			o.sleep(0)
			do(o)
		}()
	}
	step := 0
	done := make(chan struct{})
	go func() {
		working.Wait()
		close(done)
	}()
	c.wait("operators end", maxRunTime, func() bool {
		event(step)
		step++
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
}

// startedRollouts counts the roll-outs that have begun, by what their order names, as any member has come to know.
type startedRollouts map[string]map[uint64]bool

func (b startedRollouts) observe(c *faultyCluster) {
	for _, m := range c.sorted() {
		if !m.running {
			continue
		}
		saved := m.controller.state.rollouts.Snapshot()
		for _, roll := range saved.Rollouts {
			b.add(roll.Service, roll.Target, roll.OverMs, roll.Index)
		}
		for _, taken := range saved.Recent { // one that another has followed at once
			b.add(taken.Service, taken.Target, taken.OverMs, taken.Index)
		}
	}
}

func (b startedRollouts) add(service, target string, overMs int64, index uint64) {
	name := fmt.Sprint(service, " ", target, " ", overMs)
	if b[name] == nil {
		b[name] = map[uint64]bool{}
	}
	b[name][index] = true
}

// wantAcknowledged fails unless an order ends with 200 after answers that are no clear ones.
func wantAcknowledged(t testing.TB, o *operator, what string, try func() reply) {
	t.Helper()
	var refused []reply
	taken := o.retryUntilClear(maxClearAttempts, func() bool {
		got := try()
		switch got.status {
		case http.StatusOK:
			return true
		case 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
			return false
		}
		refused = append(refused, got)
		return true
	})
	if !taken || len(refused) > 0 {
		t.Errorf("%s: taken: %v, refused: %v", what, taken, refused)
	}
}

// TestConfigurationOrder_AnswerLostAtAnyStep_Idempotent loses the leader at each step while an order is being committed, in each way; the operator repeats
// it until it is acknowledged.
func TestConfigurationOrder_AnswerLostAtAnyStep_Idempotent(t *testing.T) {
	t.Parallel()
	for _, loss := range losses {
		runInVirtualTime(t, loss.name, func(t *testing.T) {
			for step := range maxSteps {
				c := newFaultyCluster(t, uint64(step), 0)
				seen := startedRollouts{}
				event := func(now int) {
					if now == step {
						loss.lose(c, c.leader())
					}
					if now == step+200 {
						c.heal()
					}
					seen.observe(c)
				}
				c.runOperators(event, func(o *operator) {
					wantAcknowledged(t, o, "configuration", func() reply { return o.call(http.MethodPut, settingsPath, document(3), "If-Match", "0") })
					wantAcknowledged(t, o, "the next one", func() reply { return o.call(http.MethodPut, settingsPath, document(5), "If-Match", "3") })
					wantAcknowledged(t, o, "the first once more", func() reply { return o.call(http.MethodPut, settingsPath, document(3), "If-Match", "0") })
				}, func(o *operator) {
					body := `{"service":"lm","target":"v2","overS":60}`
					wantAcknowledged(t, o, "roll-out", func() reply { return o.call(http.MethodPost, rolloutsPath, body) })
					wantAcknowledged(t, o, "the roll-out once more", func() reply { return o.call(http.MethodPost, rolloutsPath, body) })
				})
				if got := len(seen["lm v2 60000"]); got != 1 {
					t.Errorf("at step %d: one order began %d roll-outs", step, got)
				}
				c.heal()
				c.wait("the group is complete", 30*time.Second, c.isComplete)
				if got := c.leader().controller.state.configuration.Current().Number; got != 5 {
					t.Errorf("at step %d: version %d is current, want 5", step, got)
				}
			}
		})
	}
}

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

// TestConfigurationOrder_DuplicateWhileInFlight_Acknowledged has copies of an order arrive at the same time, at all members, while the leader can't
// reach a majority for some time, or loses its power.
func TestConfigurationOrder_DuplicateWhileInFlight_Acknowledged(t *testing.T) {
	t.Parallel()
	for _, loss := range losses {
		runInVirtualTime(t, loss.name, func(t *testing.T) {
			for _, heals := range []int{1, 40, 150, 400} {
				c := newFaultyCluster(t, uint64(heals), 0)
				copies := func(method, path, body string) []func(o *operator) {
					var does []func(o *operator)
					for range 2 * len(c.machines) {
						does = append(does, func(o *operator) {
							got := o.callOne(c.sorted()[o.number%len(c.machines)], method, path, body, "If-Match", "0")
							if !slices.Contains([]int{0, http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, got.status) {
								t.Errorf("healed after %d: a copy is answered by %d %s", heals, got.status, got.body)
							}
						})
					}
					return does
				}
				seen := startedRollouts{}
				does := append(copies(http.MethodPut, settingsPath, document(3)), copies(http.MethodPost, rolloutsPath, `{"service":"lm","target":"v2","overS":60}`)...)
				c.runOperators(func(now int) {
					if now == 1 {
						loss.lose(c, c.leader())
					}
					if now == heals {
						c.heal()
					}
					seen.observe(c)
				}, does...)
				c.heal()
				c.wait("the group is complete", 30*time.Second, c.isComplete)
				seen.observe(c)
				if got := len(seen["lm v2 60000"]); got > 1 {
					t.Errorf("healed after %d: one order began %d roll-outs", heals, got)
				}
				// The operator hasn't had a clear answer from all; it sends the same again.
				c.runOperators(func(int) {}, func(o *operator) {
					wantAcknowledged(t, o, "configuration", func() reply { return o.call(http.MethodPut, settingsPath, document(3), "If-Match", "0") })
				})
			}
		})
	}
}

// TestConfigurationOrder_DuplicateToLaggingMember_NeverRejected asks a member that has heard nothing of the changes since the order, and one that has lost its
// disk.
func TestConfigurationOrder_DuplicateToLaggingMember_NeverRejected(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		runInVirtualTime(t, fmt.Sprint("wiped: ", wiped), func(t *testing.T) {
			c := newFaultyCluster(t, 1, 0)
			var lagging *testMachine
			for _, m := range c.sorted() {
				if m != c.leader() {
					lagging = m
				}
			}
			if wiped {
				lagging.wipe()
			}
			c.partition(lagging, true, true)
			c.runOperators(func(int) {}, func(o *operator) {
				for base := range 5 {
					body := document(base + 1)
					wantAcknowledged(t, o, "a change", func() reply {
						return o.callOne(c.leader(), http.MethodPut, settingsPath, body, "If-Match", fmt.Sprint(base))
					})
				}
				// When each of them is sent to the member that is partitioned, then it is not refused, and no stale version is told.
				for range 40 {
					for base := range 5 {
						got := o.exchange(lagging, http.MethodPut, settingsPath, document(base+1), "If-Match", fmt.Sprint(base))
						if got != nil && !slices.Contains([]int{http.StatusOK, http.StatusTemporaryRedirect, http.StatusServiceUnavailable}, got.Code) {
							t.Errorf("a duplicate is answered by %d %s", got.Code, got.Body)
						}
					}
					o.sleep(50 * time.Millisecond)
				}
			})
			// And once it has caught up, it acknowledges all of them by itself.
			c.heal()
			c.wait("the group is complete", 30*time.Second, c.isComplete)
			c.runOperators(func(int) {}, func(o *operator) {
				o.sleep(time.Second)
				for base := range 5 {
					if got := o.exchange(lagging, http.MethodPut, settingsPath, document(base+1), "If-Match", fmt.Sprint(base)); got.Code != http.StatusOK {
						t.Errorf("after it has caught up a duplicate is answered by %d", got.Code)
					}
				}
			})
		})
	}
}

// TestConfigurationOrder_DuplicatesAfterChangesAndRestarts_Acknowledged changes the configuration hundreds of times, so that snapshots replace the log,
// restarts all members and replaces one, and repeats all orders.
func TestConfigurationOrder_DuplicatesAfterChangesAndRestarts_Acknowledged(t *testing.T) {
	t.Parallel()
	const changes = 200
	c := newCluster(t, 0)
	padding := strings.Repeat(" ", 8<<10)
	var orders []*configuration.Proposal
	for number := range uint64(changes) {
		raw := mustMarshal(t, json.RawMessage(orderNamed(number+1, padding)))
		order := &configuration.Proposal{Base: number, Number: number + 1, Raw: raw}
		if got := c.propose(Command{Configuration: order}); got != configuration.Accepted {
			t.Fatalf("order %d was %v", number+1, got)
		}
		orders = append(orders, order)
	}
	for _, m := range c.sorted() {
		m.kill()
		m.disk.LosePower(7)
		m.start()
	}
	c.until("a leader", 5*time.Second, func() bool { return c.leader() != nil })
	c.sorted()[0].wipe()
	c.run(5 * time.Second)
	for _, order := range orders {
		if got := c.propose(Command{Configuration: order}); got != configuration.Accepted {
			t.Errorf("order %d was %v when it came again", order.Number, got)
		}
		for _, m := range c.sorted() {
			if !m.controller.wasAccepted(order) {
				t.Fatalf("%s doesn't know that order %d was taken", m.member.Name, order.Number)
			}
		}
	}
}

// interludes lie between an order and its repeat.
var interludes = []struct {
	name string
	pass func(c *faultyCluster)
}{
	{"nothing", func(*faultyCluster) {}},
	{"an election", func(c *faultyCluster) {
		leader := c.leader()
		leader.kill()
		c.wait("another leader", 5*time.Second, func() bool { return c.leader() != nil })
		leader.start()
	}},
	{"a restart of all", func(c *faultyCluster) { c.restartAll(0) }},
	{"clocks that go ahead", func(c *faultyCluster) {
		for _, m := range c.sorted() {
			m.skew = 2 * time.Second
		}
	}},
	{"clocks that go ahead, and a restart of all", func(c *faultyCluster) { c.restartAll(2 * time.Second) }},
	{"clocks that go back, and a restart of all", func(c *faultyCluster) { c.restartAll(-2 * time.Second) }},
	{"a leader that is frozen", func(c *faultyCluster) {
		c.frozen[c.leader()] = true
		c.passBy(2 * time.Second)
		clear(c.frozen)
	}},
	{"a lost disk", func(c *faultyCluster) {
		c.leader().wipe()
		c.wait("the group is complete", 20*time.Second, c.isComplete)
	}},
}

// restartAll has all machines lose their power and come back with another time of day.
func (c *faultyCluster) restartAll(skew time.Duration) {
	c.t.Helper()
	for _, m := range c.sorted() {
		m.skew = skew
		c.restart(m, true)
	}
	c.wait("all run", 5*time.Second, func() bool {
		return !slices.ContainsFunc(c.sorted(), func(m *testMachine) bool { return !m.running })
	})
}

// TestRolloutOrder_LateDuplicate_StartsNoSecondRollout has v2 ordered, v3 after it, and v2 again: within confirmMs that is a duplicate, long after it is an
// order to go back. What ends in reverting is attempted again.
func TestRolloutOrder_LateDuplicate_StartsNoSecondRollout(t *testing.T) {
	t.Parallel()
	const window = 9 * time.Second // confirmMs and stretchMs, as they are where settings tell none
	body := func(target string) string { return fmt.Sprintf(`{"service":"lm","target":%q,"overS":60}`, target) }
	for _, end := range []rollout.State{rollout.Finished, rollout.Reverted} {
		for _, interlude := range interludes {
			runInVirtualTime(t, fmt.Sprint(end, ", ", interlude.name), func(t *testing.T) {
				c := newFaultyCluster(t, 1, 0)
				order := func(target string, want int) {
					t.Helper()
					c.runOperators(func(int) {}, func(o *operator) {
						ended := o.retryUntilClear(maxClearAttempts, func() bool {
							got := o.call(http.MethodPost, rolloutsPath, body(target))
							if isClear := got.status != 0 && got.status != http.StatusServiceUnavailable && got.status != http.StatusGatewayTimeout; !isClear {
								return false
							}
							if got.status != want {
								t.Errorf("the order for %s is answered by %d %s, want %d", target, got.status, got.body, want)
							}
							return true
						})
						if !ended {
							t.Errorf("the order for %s has no clear answer", target)
						}
					})
				}
				decide := func(state rollout.State) {
					t.Helper()
					roll, _ := c.leader().controller.state.rollouts.Rollout("lm")
					c.agree(Command{RolloutDecision: &rollout.Decision{Service: "lm", Target: roll.Target, Order: roll.Index, State: state}})
				}
				wantRoll := func(target string, state rollout.State) {
					t.Helper()
					c.wait("a leader", 5*time.Second, func() bool { return c.leader() != nil })
					if roll, _ := c.leader().controller.state.rollouts.Rollout("lm"); roll.Target != target || roll.State != state {
						t.Errorf("the newest order is for %s and %s, want %s and %s", roll.Target, roll.State, target, state)
					}
				}
				c.agree(Command{ObservedVersion: &rollout.ObservedVersion{Service: "lm", Version: "v1"}})

				// Given v2, which has ended, and v3, which is under way.
				order("v2", http.StatusOK)
				decide(end)
				order("v3", http.StatusOK)

				// When v2 comes again soon, then it is acknowledged and changes nothing; another order is told to wait.
				interlude.pass(c)
				order("v2", http.StatusOK)
				wantRoll("v3", rollout.InService)
				order("v4", http.StatusConflict)

				// When v3 has ended, then a duplicate of v2 or v3 changes nothing either.
				decide(rollout.Finished)
				order("v2", http.StatusOK)
				order("v3", http.StatusOK)
				wantRoll("v3", rollout.Finished)

				// When v2 is ordered long after, then it is rolled out, and its own repeat is one.
				c.passBy(window + 6*time.Second)
				order("v2", http.StatusOK)
				wantRoll("v2", rollout.InService)
				decide(rollout.Reverted)
				order("v2", http.StatusOK)
				wantRoll("v2", rollout.Reverted)
				c.passBy(window + 6*time.Second)
				order("v2", http.StatusOK)
				wantRoll("v2", rollout.InService)
			})
		}
	}
}

// passBy lets time pass.
func (c *faultyCluster) passBy(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step()
	}
}

// agree has the configuration shard agree on a command, whoever leads it.
func (c *faultyCluster) agree(command Command) {
	c.t.Helper()
	done := false
	c.wait("agreement", 10*time.Second, func() bool {
		if leader := c.leader(); leader != nil && !done {
			leader.controller.Group().ProposeAsync(command, func(_ any, err error) { done = err == nil })
			c.passBy(10 * clusterStep)
		}
		return done
	})
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

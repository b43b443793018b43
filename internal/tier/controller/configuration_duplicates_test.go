package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/configuration"
)

// TestConfigurationOrder_AnswerLostAtAnyStep_Idempotent has the leader fail in each way at each step of committing an order. The
// operator repeats the order until it is acknowledged; it must take effect once.
func TestConfigurationOrder_AnswerLostAtAnyStep_Idempotent(t *testing.T) {
	t.Parallel()
	for _, failure := range leaderFailures {
		runInVirtualTime(t, failure.name, func(t *testing.T) {
			for step := range maxSteps {
				cluster := newFaultyCluster(t, uint64(step), 0)
				seen := startedRollouts{}
				event := func(now int) {
					if now == step {
						failure.inject(cluster, cluster.leader())
					}
					if now == step+200 {
						cluster.heal()
					}
					seen.observe(cluster)
				}
				cluster.runOperators(event, func(operator *operator) {
					wantAcknowledged(t, operator, "configuration", func() reply { return operator.call(http.MethodPut, settingsPath, document(3), "If-Match", "0") })
					wantAcknowledged(t, operator, "the next configuration", func() reply { return operator.call(http.MethodPut, settingsPath, document(5), "If-Match", "3") })
					wantAcknowledged(t, operator, "a duplicate of the first configuration", func() reply { return operator.call(http.MethodPut, settingsPath, document(3), "If-Match", "0") })
				}, func(operator *operator) {
					body := `{"service":"lm","target":"v2","overS":60}`
					wantAcknowledged(t, operator, "roll-out", func() reply { return operator.call(http.MethodPost, rolloutsPath, body) })
					wantAcknowledged(t, operator, "a duplicate of the roll-out", func() reply { return operator.call(http.MethodPost, rolloutsPath, body) })
				})
				if got := len(seen["lm v2 60000"]); got != 1 {
					t.Errorf("leader failed at step %d: one order started %d roll-outs, want 1", step, got)
				}
				cluster.heal()
				cluster.wait("the group is complete", 30*time.Second, cluster.isComplete)
				if got := cluster.leader().controller.state.configuration.Current().Number; got != 5 {
					t.Errorf("leader failed at step %d: version %d is current, want 5", step, got)
				}
			}
		})
	}
}

// TestConfigurationOrder_DuplicateWhileInFlight_Acknowledged sends copies of an order to all members at once while the leader fails in
// each way. No copy may be rejected, and the order must take effect once at most until it is repeated.
func TestConfigurationOrder_DuplicateWhileInFlight_Acknowledged(t *testing.T) {
	t.Parallel()
	for _, failure := range leaderFailures {
		runInVirtualTime(t, failure.name, func(t *testing.T) {
			for _, healStep := range []int{1, 40, 150, 400} {
				cluster := newFaultyCluster(t, uint64(healStep), 0)
				copies := func(method, path, body string) []func(operator *operator) {
					var calls []func(operator *operator)
					for range 2 * len(cluster.machines) {
						calls = append(calls, func(operator *operator) {
							got := operator.callOne(cluster.sorted()[operator.number%len(cluster.machines)], method, path, body, "If-Match", "0")
							if !slices.Contains([]int{0, http.StatusOK, http.StatusServiceUnavailable, http.StatusGatewayTimeout}, got.status) {
								t.Errorf("healed after step %d: a copy got status %d %s", healStep, got.status, got.body)
							}
						})
					}
					return calls
				}
				seen := startedRollouts{}
				calls := append(copies(http.MethodPut, settingsPath, document(3)), copies(http.MethodPost, rolloutsPath, `{"service":"lm","target":"v2","overS":60}`)...)
				cluster.runOperators(func(now int) {
					if now == 1 {
						failure.inject(cluster, cluster.leader())
					}
					if now == healStep {
						cluster.heal()
					}
					seen.observe(cluster)
				}, calls...)
				cluster.heal()
				cluster.wait("the group is complete", 30*time.Second, cluster.isComplete)
				seen.observe(cluster)
				if got := len(seen["lm v2 60000"]); got > 1 {
					t.Errorf("healed after step %d: one order started %d roll-outs, want 1 at most", healStep, got)
				}
				// Some copies got no conclusive response, so the operator sends the order again.
				cluster.runOperators(func(int) {}, func(operator *operator) {
					wantAcknowledged(t, operator, "configuration", func() reply { return operator.call(http.MethodPut, settingsPath, document(3), "If-Match", "0") })
				})
			}
		})
	}
}

// TestConfigurationOrder_DuplicateToLaggingMember_NeverRejected sends duplicates to a member that has missed all changes since the
// order, and to one that has lost its disk.
func TestConfigurationOrder_DuplicateToLaggingMember_NeverRejected(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		runInVirtualTime(t, fmt.Sprint("wiped: ", wiped), func(t *testing.T) {
			cluster := newFaultyCluster(t, 1, 0)
			var lagging *testMachine
			for _, m := range cluster.sorted() {
				if m != cluster.leader() {
					lagging = m
				}
			}
			if wiped {
				lagging.wipe()
			}
			cluster.partition(lagging, true, true)
			cluster.runOperators(func(int) {}, func(operator *operator) {
				for base := range 5 {
					body := document(base + 1)
					wantAcknowledged(t, operator, "a configuration", func() reply {
						return operator.callOne(cluster.leader(), http.MethodPut, settingsPath, body, "If-Match", fmt.Sprint(base))
					})
				}
				// When each order is sent again to the partitioned member, then it is not rejected.
				for range 40 {
					for base := range 5 {
						got := operator.exchange(lagging, http.MethodPut, settingsPath, document(base+1), "If-Match", fmt.Sprint(base))
						if got != nil && !slices.Contains([]int{http.StatusOK, http.StatusTemporaryRedirect, http.StatusServiceUnavailable}, got.Code) {
							t.Errorf("a duplicate got status %d %s", got.Code, got.Body)
						}
					}
					operator.sleep(50 * time.Millisecond)
				}
			})
			// And once the member has caught up, it acknowledges all of them itself.
			cluster.heal()
			cluster.wait("the group is complete", 30*time.Second, cluster.isComplete)
			cluster.runOperators(func(int) {}, func(operator *operator) {
				operator.sleep(time.Second)
				for base := range 5 {
					if got := operator.exchange(lagging, http.MethodPut, settingsPath, document(base+1), "If-Match", fmt.Sprint(base)); got.Code != http.StatusOK {
						t.Errorf("a duplicate got status %d from the member after it caught up", got.Code)
					}
				}
			})
		})
	}
}

// TestConfigurationOrder_DuplicatesAfterChangesAndRestarts_Acknowledged changes the configuration often enough for snapshots to replace
// the log, restarts all members, wipes one, and repeats all orders.
func TestConfigurationOrder_DuplicatesAfterChangesAndRestarts_Acknowledged(t *testing.T) {
	t.Parallel()
	const changes = 200
	cluster := newCluster(t, 0)
	padding := strings.Repeat(" ", 8<<10)
	var orders []*configuration.Proposal
	for number := range uint64(changes) {
		raw := mustMarshal(t, json.RawMessage(documentWithNote(number+1, padding)))
		order := &configuration.Proposal{Base: number, Number: number + 1, Raw: raw}
		if got := cluster.propose(Command{Configuration: order}); got != configuration.Accepted {
			t.Fatalf("the result of order %d is %v", number+1, got)
		}
		orders = append(orders, order)
	}
	for _, m := range cluster.sorted() {
		m.kill()
		m.disk.LosePower(7)
		m.start()
	}
	cluster.until("a leader", 5*time.Second, func() bool { return cluster.leader() != nil })
	cluster.sorted()[0].wipe()
	cluster.run(5 * time.Second)
	for _, order := range orders {
		if got := cluster.propose(Command{Configuration: order}); got != configuration.Accepted {
			t.Errorf("the result of a duplicate of order %d is %v", order.Number, got)
		}
		for _, m := range cluster.sorted() {
			if !m.controller.wasAccepted(order) {
				t.Fatalf("%s doesn't know that order %d was accepted", m.member.Name, order.Number)
			}
		}
	}
}

package simulation

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"mastusher/internal/tier/standin"
)

// runScenario runs a scenario on a serving fleet in a synctest bubble, and checks the history.
func runScenario(t *testing.T, options Options, scenario func(t *testing.T, d *day)) {
	t.Helper()
	var d *day
	synctest.Test(t, func(t *testing.T) {
		f, operator, users := newFleet(t, options)
		d = &day{Fleet: f, firstOperator: operator, secondOperator: newOperator(f, "b"), clients: users}
		f.onAcknowledgement = d.onAcknowledgement
		d.recordVersion(1)
		scenario(t, d)
		f.Close()
	})
	violations := append(d.Violations(), checkConfiguration(d.history)...)
	for _, violation := range append(violations, checkTurns(d.history, d.environment.runLog)...) {
		t.Error(violation)
	}
}

// leaderOf sends an order and returns the controller that acknowledges it.
func leaderOf(t *testing.T, d *day) *machine {
	t.Helper()
	if status := d.order(d.firstOperator); status != statusOK {
		t.Fatalf("an order got status %d, want 200", status)
	}
	for _, call := range d.history.orders() {
		for _, m := range d.machinesOf(coreClass) {
			if call.Status == statusOK && call.Content.Number == d.knownVersion() && m.address(controlPort) == call.Answered {
				return m
			}
		}
	}
	t.Fatal("no controller acknowledged the order")
	return nil
}

// otherControllers returns all controllers except one.
func otherControllers(d *day, m *machine) []*machine {
	var found []*machine
	for _, other := range d.machinesOf(coreClass) {
		if other != m {
			found = append(found, other)
		}
	}
	return found
}

// Duration of a partition, and interval of the reads at the partitioned machine meanwhile.
const (
	partitionTime     = 20 * time.Second
	staleReadInterval = 200 * time.Millisecond
)

// TestLeader_Partitioned_NeverServesStaleState partitions the leader of the configuration's group for 20 s while operators reach both
// sides. It must acknowledge nothing and serve no stale read, the others must accept orders, and afterwards it must catch up.
func TestLeader_Partitioned_NeverServesStaleState(t *testing.T) {
	t.Parallel()
	partitions := map[string]func(d *day, m *machine){
		"from all machines": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(coreClass, storageClass, edgeClass), bothWays)
		},
		"from the other controllers": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, otherControllers(d, m), bothWays)
		},
		"outbound only": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(coreClass, storageClass, edgeClass), outbound)
		},
		"inbound only": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(coreClass, storageClass, edgeClass), inbound)
		},
		"connections reset and refused": func(d *day, m *machine) { d.refuseConnections(partitionTime, m) },
		"frozen":                        func(d *day, m *machine) { m.host.Freeze(); d.after(partitionTime, m.host.Thaw) },
		"from the stores only": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(storageClass), bothWays)
		},
	}
	for name, partition := range partitions {
		t.Run(name, func(t *testing.T) {
			runScenario(t, Options{Seed: 11}, func(t *testing.T, d *day) {
				leader := leaderOf(t, d)
				partition(d, leader)
				for range 4 { // read from the partitioned machine at random times
					d.traffic.Go(func() {
						for end := time.Now().Add(partitionTime); time.Now().Before(end); time.Sleep(d.jitter(staleReadInterval)) {
							d.secondOperator.read(leader.address(controlPort))
						}
					})
				}
				acknowledged, end := 0, time.Now().Add(partitionTime)
				for time.Now().Before(end) {
					if d.order(d.firstOperator) == statusOK {
						acknowledged++
					}
					for range 3 { // directly to the partitioned machine
						d.secondOperator.read(leader.address(controlPort))
						if next := d.secondOperator.next(d.knownVersion() + 1); d.secondOperator.put(leader.address(controlPort), d.knownVersion(), next) == statusOK {
							d.recordVersion(next.Number)
						}
					}
					time.Sleep(d.jitter(programInterval))
				}
				d.traffic.Wait()
				if acknowledged < 3 {
					t.Errorf("%d orders were acknowledged during the partition, want at least 3", acknowledged)
				}
				time.Sleep(5 * time.Second)
				if read, ok := d.secondOperator.read(leader.address(controlPort)); !ok || read.Number < d.knownVersion() {
					t.Errorf("after the partition, the former leader still reads %v", read)
				}
			})
		})
	}
}

// TestOrder_SentAgainAfterLostAnswer_IsAcknowledged sends an order again whose answer was lost: after the leader was killed, and to
// each controller after many later changes. Each duplicate must be acknowledged.
func TestOrder_SentAgainAfterLostAnswer_IsAcknowledged(t *testing.T) {
	t.Parallel()
	runScenario(t, Options{Seed: 12}, func(t *testing.T, d *day) {
		leader := leaderOf(t, d)
		base := d.knownVersion()
		ordered := d.firstOperator.next(base + 2)
		d.setAckLossRate(1)
		d.firstOperator.put(leader.address(controlPort), base, ordered)
		d.setAckLossRate(0)
		leader.kill()
		if status := d.firstOperator.order(base, ordered); status != statusOK {
			t.Errorf("the duplicate got status %d, want 200", status)
		}
		d.recordVersion(base + 2)
		leader.startAll()
		for range 100 {
			d.order(d.firstOperator)
		}
		for _, m := range d.machinesOf(coreClass) {
			if status := d.secondOperator.put(m.address(controlPort), base, ordered); status != statusOK {
				t.Errorf("the late duplicate at %s got status %d, want 200", m.name, status)
			}
		}
	})
}

// TestOrders_TwoOfOneNumber_OneIsAcknowledged has two operators send different orders with one number on the same version, in half of
// the races while the leader is partitioned. One order must be acknowledged and the other refused.
func TestOrders_TwoOfOneNumber_OneIsAcknowledged(t *testing.T) {
	t.Parallel()
	runScenario(t, Options{Seed: 13}, func(t *testing.T, d *day) {
		for attempt := range 10 {
			if attempt%2 == 1 {
				leader := leaderOf(t, d)
				d.partition(2*time.Second, []*machine{leader}, otherControllers(d, leader), bothWays)
			}
			base := d.knownVersion()
			statuses := make([]int, 2)
			var both sync.WaitGroup
			for i, o := range []*operator{d.firstOperator, d.secondOperator} {
				both.Go(func() { statuses[i] = o.order(base, o.next(base+1)) })
			}
			both.Wait()
			if min(statuses[0], statuses[1]) != statusOK || max(statuses[0], statuses[1]) != http.StatusPreconditionFailed {
				t.Errorf("race %d: statuses %v, want one 200 and one 412", attempt, statuses)
			}
			d.recordVersion(base + 1)
		}
	})
}

// TestReplacement_NextLossAtOnce_LosesNothing replaces a machine or loses its disk, and then those of the next ones, each as soon as
// the fault model allows another loss. Nothing acknowledged may be lost.
func TestReplacement_NextLossAtOnce_LosesNothing(t *testing.T) {
	t.Parallel()
	firsts := map[string]func(d *day, m *machine){
		"disk lost": func(_ *day, m *machine) { m.loseDisk(1); time.Sleep(time.Second); m.startAll() },
		"replaced": func(d *day, m *machine) {
			d.replaceMachine(m, Fault{Kind: ReplaceFault, For: time.Second})
			time.Sleep(time.Second)
		},
		"replaced as planned": func(d *day, m *machine) {
			d.replaceMachine(m, Fault{Kind: PlannedReplaceFault, For: time.Second})
			time.Sleep(time.Second + gracePeriod)
		},
	}
	for name, lose := range firsts {
		for _, of := range []class{coreClass, storageClass} {
			t.Run(fmt.Sprintf("%s, %s", name, of), func(t *testing.T) {
				runScenario(t, Options{Seed: 14}, func(t *testing.T, d *day) {
					turns := d.clients.runProgram(3, 0, standin.Turn{}).Turns
					machines := d.machinesOf(of)
					for _, m := range machines[:3] { // the three oldest, one after the other
						lose(d, m)
						time.Sleep(catchUpTime)
					}
					last := turns[len(turns)-1]
					if state := continueProgram(d, last); state != standin.Finished {
						t.Errorf("a program that continues an earlier turn ended as %s, want finished", state)
					}
					if read, ok := d.firstOperator.readBack(); !ok || read.Number != d.knownVersion() {
						t.Errorf("read back %v, want %d", read, d.knownVersion())
					}
					if status := d.order(d.firstOperator); status != statusOK {
						t.Errorf("an order got status %d, want 200", status)
					}
				})
			})
		}
	}
}

// continueProgram runs a program that continues an earlier turn, with some retries.
func continueProgram(d *day, previous standin.Turn) standin.State {
	state := standin.Failed
	for attempt := 0; attempt < recoveryAttempts && state == standin.Failed; attempt++ {
		state = d.clients.runProgram(2, 0, previous).State
	}
	return state
}

// TestLaggingController_FirstBackAfterPowerLoss_NeverServesStaleState has a controller miss hundreds of changes, takes the power from
// all machines, and starts that controller first. It must serve no stale read, and must catch up once the others are back.
func TestLaggingController_FirstBackAfterPowerLoss_NeverServesStaleState(t *testing.T) {
	t.Parallel()
	const (
		changes      = 300
		paddingBytes = 8 << 10 // large enough that the log is compacted, so that the lagging controller needs a snapshot
	)
	runScenario(t, Options{Seed: 15}, func(t *testing.T, d *day) {
		d.firstOperator.paddingBytes = paddingBytes
		leader := leaderOf(t, d)
		lagging := otherControllers(d, leader)[0]
		lagging.losePower(1)
		for range changes {
			if status := d.order(d.firstOperator); status != statusOK {
				t.Fatalf("an order got status %d, want 200", status)
			}
		}
		for _, m := range d.quorumMachines() {
			m.losePower(2)
		}
		time.Sleep(time.Second)
		lagging.startAll()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			d.secondOperator.read(lagging.address(controlPort))
			time.Sleep(initialBackoff)
		}
		d.StartAll()
		if read, ok := d.firstOperator.readBack(); !ok || read.Number != d.knownVersion() {
			t.Errorf("read back %v, want %d", read, d.knownVersion())
		}
		// A machine that is back counts as lost for catchUpTime. The lagging controller must catch up within it, so that the group then
		// tolerates the loss of each other controller in turn.
		for _, lost := range otherControllers(d, lagging) {
			time.Sleep(catchUpTime)
			lost.loseDisk(3)
			if status := d.order(d.firstOperator); status != statusOK {
				t.Errorf("with the controller that lagged in the quorum, an order got status %d, want 200", status)
			}
			if read, ok := d.firstOperator.readBack(); !ok || read.Number != d.knownVersion() {
				t.Errorf("read back %v, want %d", read, d.knownVersion())
			}
			lost.startAll()
		}
	})
}

// listTimeout is the time within which all proxies receive a new endpoint list.
const listTimeout = 5 * time.Second

// TestAtMostOnceRequests_FaultyEndpoints_RunOnce has programs send requests that may run at most once to endpoints that reset
// connections, lose responses or send each response twice. None may run twice, and each response must belong to its request.
func TestAtMostOnceRequests_FaultyEndpoints_RunOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.NoFault, standin.LoseResponse, standin.TruncateResponse, standin.DropRequest, standin.RejectFull} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			var duplicating *duplicatingEndpoint
			runScenario(t, Options{Seed: 16}, func(t *testing.T, d *day) {
				duplicating = startDuplicatingEndpoint(t, d.Fleet)
				defer duplicating.listener.Close()
				time.Sleep(listTimeout)
				d.setEndpointFaults(endpointFaults{rate: 0.3, fault: fault})
				for batch := range 20 {
					var together sync.WaitGroup
					for range 3 {
						together.Go(func() { d.clients.runProgram(2, 0, standin.Turn{}) })
					}
					time.Sleep(time.Duration(batch*7) * time.Millisecond)
					for _, edge := range d.machinesOf(edgeClass) {
						d.network.Reset(edge.host, d.environment.endpoints[batch%len(d.environment.endpoints)].host)
						d.network.Reset(edge.host, duplicating.host)
					}
					together.Wait()
				}
			})
			if len(duplicating.ran) == 0 {
				t.Error("the duplicating endpoint got no request")
			}
			for attempt, count := range duplicating.ran {
				if count > 1 {
					t.Errorf("attempt %s ran %d times, want once", attempt, count)
				}
			}
		})
	}
}

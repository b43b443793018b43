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

// runScenario runs a scenario in a bubble, on a fleet that serves, and checks the history.
func runScenario(t *testing.T, options Options, scenario func(t *testing.T, d *day)) {
	t.Helper()
	var d *day
	synctest.Test(t, func(t *testing.T) {
		f, orders, users := newFleet(t, options)
		d = &day{Fleet: f, first: orders, second: newOperator(f, "b"), clients: users}
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

// leaderOf finds the controller that acknowledges orders, by sending one.
func leaderOf(t *testing.T, d *day) *machine {
	t.Helper()
	if status := d.order(d.first); status != statusOK {
		t.Fatalf("an order was answered %d", status)
	}
	for _, call := range d.history.orders() {
		for _, m := range d.machinesOf(coreClass) {
			if call.Status == statusOK && call.Content.Number == d.knownVersion() && m.address(controlPort) == call.Answered {
				return m
			}
		}
	}
	t.Fatal("nobody acknowledged it")
	return nil
}

// otherControllers lists the controllers beside one.
func otherControllers(d *day, m *machine) []*machine {
	var found []*machine
	for _, other := range d.machinesOf(coreClass) {
		if other != m {
			found = append(found, other)
		}
	}
	return found
}

// The length of a partition, and the interval of reads at the partitioned machine meanwhile.
const (
	partitionTime     = 20 * time.Second
	staleReadInterval = 200 * time.Millisecond
)

// Point 1. Given the leader of the configuration's group, when it is partitioned for 20 s while the operator reaches both sides, then it
// acknowledges nothing and serves no stale read, the others take orders, and it follows afterwards.
func TestLeader_Partitioned_NeverServesStaleState(t *testing.T) {
	t.Parallel()
	partitions := map[string]func(d *day, m *machine){
		"from all": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(coreClass, storageClass, edgeClass), bothWays)
		},
		"from the majority": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, otherControllers(d, m), bothWays)
		},
		"what it sends": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(coreClass, storageClass, edgeClass), outbound)
		},
		"what is sent to it": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(coreClass, storageClass, edgeClass), inbound)
		},
		"with resets": func(d *day, m *machine) { d.refuseConnections(partitionTime, m) },
		"frozen":      func(d *day, m *machine) { m.host.Freeze(); d.after(partitionTime, m.host.Thaw) },
		"from its store only": func(d *day, m *machine) {
			d.partition(partitionTime, []*machine{m}, d.machinesOf(storageClass), bothWays)
		},
	}
	for name, partition := range partitions {
		t.Run(name, func(t *testing.T) {
			runScenario(t, Options{Seed: 11}, func(t *testing.T, d *day) {
				leader := leaderOf(t, d)
				partition(d, leader)
				for range 4 { // readers at the partitioned machine, at any moment
					d.traffic.Go(func() {
						for end := time.Now().Add(partitionTime); time.Now().Before(end); time.Sleep(d.jitter(staleReadInterval)) {
							d.second.read(leader.address(controlPort))
						}
					})
				}
				acknowledged, end := 0, time.Now().Add(partitionTime)
				for time.Now().Before(end) {
					if d.order(d.first) == statusOK {
						acknowledged++
					}
					for range 3 { // straight to the partitioned machine
						d.second.read(leader.address(controlPort))
						if next := d.second.next(d.knownVersion() + 1); d.second.put(leader.address(controlPort), d.knownVersion(), next) == statusOK {
							d.recordVersion(next.Number)
						}
					}
					time.Sleep(d.jitter(programInterval))
				}
				d.traffic.Wait()
				if acknowledged < 3 {
					t.Errorf("%d orders were acknowledged during the partition", acknowledged)
				}
				time.Sleep(5 * time.Second)
				if read, ok := d.second.read(leader.address(controlPort)); !ok || read.Number < d.knownVersion() {
					t.Errorf("afterwards it reads %v", read)
				}
			})
		})
	}
}

// Point 2. Given an order whose answer was lost, when it is sent again to any controller, also after the leader was killed and
// after many later changes, then it is acknowledged.
func TestOrder_SentAgainAfterLostAnswer_IsAcknowledged(t *testing.T) {
	t.Parallel()
	runScenario(t, Options{Seed: 12}, func(t *testing.T, d *day) {
		leader := leaderOf(t, d)
		base := d.knownVersion()
		ordered := d.first.next(base + 2)
		d.setAckLossRate(1)
		d.first.put(leader.address(controlPort), base, ordered)
		d.setAckLossRate(0)
		leader.kill()
		if status := d.first.order(base, ordered); status != statusOK {
			t.Errorf("the duplicate was answered %d", status)
		}
		d.recordVersion(base + 2)
		leader.startAll()
		for range 100 {
			d.order(d.first)
		}
		for _, m := range d.machinesOf(coreClass) {
			if status := d.second.put(m.address(controlPort), base, ordered); status != statusOK {
				t.Errorf("the late duplicate at %s was answered %d", m.name, status)
			}
		}
	})
}

// Point 2. Given two operators, when both order different things under one number on the same version, on both sides of a partition
// too, then one of them is acknowledged, and the other refused.
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
			for i, o := range []*operator{d.first, d.second} {
				both.Go(func() { statuses[i] = o.order(base, o.next(base+1)) })
			}
			both.Wait()
			if min(statuses[0], statuses[1]) != statusOK || max(statuses[0], statuses[1]) != http.StatusPreconditionFailed {
				t.Errorf("race %d: answered %v", attempt, statuses)
			}
			d.recordVersion(base + 1)
		}
	})
}

// Point 3. Given a machine that was replaced or whose disk was lost, when another one loses its disk as soon as the rules allow,
// then nothing acknowledged is lost.
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
			time.Sleep(time.Second + grace)
		},
	}
	for name, lose := range firsts {
		for _, of := range []class{coreClass, storageClass} {
			t.Run(fmt.Sprintf("%s, %s", name, of), func(t *testing.T) {
				runScenario(t, Options{Seed: 14}, func(t *testing.T, d *day) {
					turns := d.clients.runProgram(3, 0, standin.Turn{}).Turns
					machines := d.machinesOf(of)
					for _, m := range machines[:3] { // each of the oldest in turn
						lose(d, m)
						time.Sleep(catchUp)
					}
					last := turns[len(turns)-1]
					if state := continueProgram(d, last); state != standin.Finished {
						t.Errorf("a program from an earlier turn ended as %s", state)
					}
					if read, ok := d.first.readBack(); !ok || read.Number != d.knownVersion() {
						t.Errorf("read back %v, want %d", read, d.knownVersion())
					}
					if status := d.order(d.first); status != statusOK {
						t.Errorf("an order was answered %d", status)
					}
				})
			})
		}
	}
}

// continueProgram runs a program from an earlier turn, with some retries.
func continueProgram(d *day, from standin.Turn) standin.State {
	state := standin.Failed
	for attempt := 0; attempt < recoveryAttempts && state == standin.Failed; attempt++ {
		state = d.clients.runProgram(2, 0, from).State
	}
	return state
}

// Point 4. Given a controller that was down for hundreds of changes, when all power is lost and it is the first one back, then it
// serves no stale read, and in the end all have the newest.
func TestLaggingController_FirstBackAfterPowerLoss_NeverServesStaleState(t *testing.T) {
	t.Parallel()
	const (
		changes = 300
		longer  = 8 << 10 // so that the log is compacted meanwhile, and the one that lags needs a snapshot
	)
	runScenario(t, Options{Seed: 15}, func(t *testing.T, d *day) {
		d.first.paddingBytes = longer
		leader := leaderOf(t, d)
		lagging := otherControllers(d, leader)[0]
		lagging.losePower(1)
		for range changes {
			if status := d.order(d.first); status != statusOK {
				t.Fatalf("an order was answered %d", status)
			}
		}
		for _, m := range d.quorumMachines() {
			m.losePower(2)
		}
		time.Sleep(time.Second)
		lagging.startAll()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			d.second.read(lagging.address(controlPort))
			time.Sleep(initialBackoff)
		}
		d.StartAll()
		if read, ok := d.first.readBack(); !ok || read.Number != d.knownVersion() {
			t.Errorf("read back %v, want %d", read, d.knownVersion())
		}
		// The one that lagged catches up within the time in which a machine that is back counts as lost: it can then do without
		// another one, and for the next one when that is back.
		for _, lost := range otherControllers(d, lagging) {
			time.Sleep(catchUp)
			lost.loseDisk(3)
			if status := d.order(d.first); status != statusOK {
				t.Errorf("with the one that lagged, an order was answered %d", status)
			}
			if read, ok := d.first.readBack(); !ok || read.Number != d.knownVersion() {
				t.Errorf("read back %v, want %d", read, d.knownVersion())
			}
			lost.startAll()
		}
	})
}

// listTimeout is the time within which all proxies know a new list.
const listTimeout = 5 * time.Second

// Point 5. Given endpoints that reset, lose answers and send each answer twice, when programs call them by requests that may run
// once only, then none runs twice, and each answer belongs to its request.
func TestAtMostOnceRequests_FaultyEndpoints_RunOnce(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.NoFault, standin.LoseResponse, standin.TruncateResponse, standin.DropRequest, standin.RejectFull} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			var twice *doubler
			runScenario(t, Options{Seed: 16}, func(t *testing.T, d *day) {
				twice = startDoubler(t, d.Fleet)
				defer twice.listener.Close()
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
						d.network.Reset(edge.host, twice.host)
					}
					together.Wait()
				}
			})
			if len(twice.ran) == 0 {
				t.Error("the endpoint that answers twice got no request")
			}
			for attempt, count := range twice.ran {
				if count > 1 {
					t.Errorf("%s ran %d times", attempt, count)
				}
			}
		})
	}
}

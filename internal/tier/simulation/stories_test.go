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

// story plays one in a bubble, on a fleet that serves, and judges what was seen.
func story(t *testing.T, options Options, tell func(t *testing.T, d *day)) {
	t.Helper()
	var d *day
	synctest.Test(t, func(t *testing.T) {
		f, orders, users := newFleet(t, options)
		d = &day{Fleet: f, first: orders, second: newOperator(f, "b"), users: users}
		f.onAnswer = d.answered
		d.learn(1)
		tell(t, d)
		f.Close()
	})
	violations := append(d.Violations(), checkConfiguration(d.history)...)
	for _, violation := range append(violations, checkTurns(d.history, d.around.ledger)...) {
		t.Error(violation)
	}
}

// ownerOf finds the controller that acknowledges orders, by giving one.
func ownerOf(t *testing.T, d *day) *machine {
	t.Helper()
	if status := d.order(d.first); status != statusOK {
		t.Fatalf("an order was answered %d", status)
	}
	for _, call := range d.history.orders() {
		for _, m := range d.of(coreClass) {
			if call.Status == statusOK && call.Content.Number == d.known() && m.address(controlPort) == call.Answered {
				return m
			}
		}
	}
	t.Fatal("nobody acknowledged it")
	return nil
}

// others lists the controllers beside one.
func others(d *day, m *machine) []*machine {
	var found []*machine
	for _, other := range d.of(coreClass) {
		if other != m {
			found = append(found, other)
		}
	}
	return found
}

// The length of a cut, and how often the machine that is cut off is asked meanwhile.
const (
	longCut  = 20 * time.Second
	lookPace = 200 * time.Millisecond
)

// Point 1. Given the owner of the configuration, when it is cut off for 20 s while the operator reaches both sides, then it
// confirms nothing and tells nothing old, the others take orders, and it follows afterwards.
func TestAControlMachineThatIsCutOffTellsNothingOld(t *testing.T) {
	t.Parallel()
	cuts := map[string]func(d *day, m *machine){
		"from all": func(d *day, m *machine) {
			d.cut(longCut, []*machine{m}, d.of(coreClass, storageClass, edgeClass), true, true)
		},
		"from the majority": func(d *day, m *machine) { d.cut(longCut, []*machine{m}, others(d, m), true, true) },
		"what it sends": func(d *day, m *machine) {
			d.cut(longCut, []*machine{m}, d.of(coreClass, storageClass, edgeClass), true, false)
		},
		"what is sent to it": func(d *day, m *machine) {
			d.cut(longCut, []*machine{m}, d.of(coreClass, storageClass, edgeClass), false, true)
		},
		"with resets":         func(d *day, m *machine) { d.refuse(longCut, m) },
		"frozen":              func(d *day, m *machine) { m.host.Freeze(); d.after(longCut, m.host.Thaw) },
		"from its store only": func(d *day, m *machine) { d.cut(longCut, []*machine{m}, d.of(storageClass), true, true) },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			story(t, Options{Seed: 11}, func(t *testing.T, d *day) {
				owner := ownerOf(t, d)
				cut(d, owner)
				for range 4 { // whoever asks the machine that is cut off, at whichever moment
					d.use.Go(func() {
						for end := time.Now().Add(longCut); time.Now().Before(end); time.Sleep(d.between(lookPace)) {
							d.second.read(owner.address(controlPort))
						}
					})
				}
				acknowledged, end := 0, time.Now().Add(longCut)
				for time.Now().Before(end) {
					if d.order(d.first) == statusOK {
						acknowledged++
					}
					for range 3 { // straight to the machine that is cut off
						d.second.read(owner.address(controlPort))
						if next := d.second.next(d.known() + 1); d.second.put(owner.address(controlPort), d.known(), next) == statusOK {
							d.learn(next.Number)
						}
					}
					time.Sleep(d.between(programPace))
				}
				d.use.Wait()
				if acknowledged < 3 {
					t.Errorf("%d orders were acknowledged during the cut", acknowledged)
				}
				time.Sleep(5 * time.Second)
				if read, ok := d.second.read(owner.address(controlPort)); !ok || read.Number < d.known() {
					t.Errorf("afterwards it reads %v", read)
				}
			})
		})
	}
}

// Point 2. Given an order whose answer was lost, when it is sent again to any controller, also after the owner was killed and
// after many later changes, then it is acknowledged.
func TestAnOrderThatIsSentAgainIsAcknowledged(t *testing.T) {
	t.Parallel()
	story(t, Options{Seed: 12}, func(t *testing.T, d *day) {
		owner := ownerOf(t, d)
		base := d.known()
		ordered := d.first.next(base + 2)
		d.setLostAcks(1)
		d.first.put(owner.address(controlPort), base, ordered)
		d.setLostAcks(0)
		owner.kill()
		if status := d.first.order(base, ordered); status != statusOK {
			t.Errorf("the repeat was answered %d", status)
		}
		d.learn(base + 2)
		owner.startAll()
		for range 100 {
			d.order(d.first)
		}
		for _, m := range d.of(coreClass) {
			if status := d.second.put(m.address(controlPort), base, ordered); status != statusOK {
				t.Errorf("the late repeat at %s was answered %d", m.name, status)
			}
		}
	})
}

// Point 2. Given two operators, when both order different things under one number on the same version, on both sides of a cut
// too, then one of them is acknowledged, and the other refused.
func TestOneOfTwoOrdersUnderOneNumberIsAcknowledged(t *testing.T) {
	t.Parallel()
	story(t, Options{Seed: 13}, func(t *testing.T, d *day) {
		for round := range 10 {
			if round%2 == 1 {
				owner := ownerOf(t, d)
				d.cut(2*time.Second, []*machine{owner}, others(d, owner), true, true)
			}
			base := d.known()
			statuses := make([]int, 2)
			var both sync.WaitGroup
			for i, o := range []*operator{d.first, d.second} {
				both.Go(func() { statuses[i] = o.order(base, o.next(base+1)) })
			}
			both.Wait()
			if min(statuses[0], statuses[1]) != statusOK || max(statuses[0], statuses[1]) != http.StatusPreconditionFailed {
				t.Errorf("round %d: answered %v", round, statuses)
			}
			d.learn(base + 1)
		}
	})
}

// Point 3. Given a machine that was replaced or whose disk was lost, when another one loses its disk as soon as the rules allow,
// then nothing acknowledged is lost.
func TestASecondLossRightAfterAReplacementLosesNothing(t *testing.T) {
	t.Parallel()
	firsts := map[string]func(d *day, m *machine){
		"disk lost": func(d *day, m *machine) { m.loseDisk(1); time.Sleep(time.Second); m.startAll() },
		"replaced": func(d *day, m *machine) {
			d.replace(m, Fault{Kind: ReplaceFault, For: time.Second})
			time.Sleep(time.Second)
		},
		"replaced as planned": func(d *day, m *machine) {
			d.replace(m, Fault{Kind: ReplacePlannedFault, For: time.Second})
			time.Sleep(time.Second + grace)
		},
	}
	for name, lose := range firsts {
		for _, of := range []class{coreClass, storageClass} {
			t.Run(fmt.Sprintf("%s, %s", name, of), func(t *testing.T) {
				story(t, Options{Seed: 14}, func(t *testing.T, d *day) {
					kept := d.users.play(3, 0, standin.Turn{}).Turns
					machines := d.of(of)
					for _, m := range machines[:3] { // each of the oldest in turn
						lose(d, m)
						time.Sleep(catchUp)
					}
					last := kept[len(kept)-1]
					if state := goOn(d, last); state != standin.Finished {
						t.Errorf("a program from an earlier turn ended as %s", state)
					}
					if read, ok := d.first.readBack(); !ok || read.Number != d.known() {
						t.Errorf("read back %v, want %d", read, d.known())
					}
					if status := d.order(d.first); status != statusOK {
						t.Errorf("an order was answered %d", status)
					}
				})
			})
		}
	}
}

// goOn plays a program from an earlier turn, with some tries.
func goOn(d *day, from standin.Turn) standin.State {
	state := standin.Failed
	for try := 0; try < lastTries && state == standin.Failed; try++ {
		state = d.users.play(2, 0, from).State
	}
	return state
}

// Point 4. Given a controller that was down for hundreds of changes, when all power is lost and it is the first one back, then it
// tells nothing old, and in the end all have the newest.
func TestTheFirstMachineBackIsTheOneThatLags(t *testing.T) {
	t.Parallel()
	const (
		changes = 300
		longer  = 8 << 10 // so that the log is compacted meanwhile, and the one that lags needs a snapshot
	)
	story(t, Options{Seed: 15}, func(t *testing.T, d *day) {
		d.first.bytes = longer
		owner := ownerOf(t, d)
		lagging := others(d, owner)[0]
		lagging.losePower(1)
		for range changes {
			if status := d.order(d.first); status != statusOK {
				t.Fatalf("an order was answered %d", status)
			}
		}
		for _, m := range d.counting() {
			m.losePower(2)
		}
		time.Sleep(time.Second)
		lagging.startAll()
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
			d.second.read(lagging.address(controlPort))
			time.Sleep(firstPause)
		}
		d.StartAll()
		if read, ok := d.first.readBack(); !ok || read.Number != d.known() {
			t.Errorf("read back %v, want %d", read, d.known())
		}
		// The one that lagged catches up within the time in which a machine that is back counts as lost: it can then do without
		// another one, and for the next one when that is back.
		for _, lost := range others(d, lagging) {
			time.Sleep(catchUp)
			lost.loseDisk(3)
			if status := d.order(d.first); status != statusOK {
				t.Errorf("with the one that lagged, an order was answered %d", status)
			}
			if read, ok := d.first.readBack(); !ok || read.Number != d.known() {
				t.Errorf("read back %v, want %d", read, d.known())
			}
			lost.startAll()
		}
	})
}

// listPatience is the time within which all proxies know a new list.
const listPatience = 5 * time.Second

// Point 5. Given endpoints that reset, lose answers and send each answer twice, when programs call them by requests that may run
// once only, then none runs twice, and each answer belongs to its request.
func TestOnceOnlyCallsRunOnceWhateverEndpointsDo(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.NoFault, standin.LoseResponse, standin.TruncateResponse, standin.DropRequest, standin.RejectFull} {
		t.Run(fmt.Sprint("fault ", fault), func(t *testing.T) {
			var twice *doubler
			story(t, Options{Seed: 16}, func(t *testing.T, d *day) {
				twice = startDoubler(t, d.Fleet)
				defer twice.listener.Close()
				time.Sleep(listPatience)
				d.troubleEndpoints(endpointTrouble{share: 0.3, fault: fault})
				for round := range 20 {
					var together sync.WaitGroup
					for range 3 {
						together.Go(func() { d.users.play(2, 0, standin.Turn{}) })
					}
					time.Sleep(time.Duration(round*7) * time.Millisecond)
					for _, edge := range d.of(edgeClass) {
						d.network.Reset(edge.host, d.around.endpoints[round%len(d.around.endpoints)].host)
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

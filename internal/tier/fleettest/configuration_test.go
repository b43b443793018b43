package fleettest

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

func TestFirstStartInAnyOrder(t *testing.T) {
	seeds(t, 8, func(t *testing.T, seed uint64) {
		// Given machines with empty disks that start in any order, when the first configuration is sent,
		s := newStory(t, seed)
		s.Boot()
		first := s.operator.put(0, 3)
		s.acknowledged(first)
		// then it is taken, in force everywhere, and turns are served.
		s.inForceEverywhere(first.Content)
		s.playsWhole(3)
	})
}

func TestConfigurationThroughAKilledOwner(t *testing.T) {
	seeds(t, 8, func(t *testing.T, seed uint64) {
		// Given an order under way, when the owner is killed,
		s := serving(t, seed)
		owner := s.owner()
		order := s.operator.put(1, 2)
		s.RunFor(time.Duration(seed) * time.Millisecond)
		s.Kill(owner)
		s.StartLater(300*time.Millisecond, owner)
		// then the order is taken all the same, and in force everywhere.
		s.acknowledged(order)
		s.readsBack(order.Content)
		s.inForceEverywhere(order.Content)
	})
}

func TestOwnerKilledRightAfterAnAcknowledgement(t *testing.T) {
	for _, ending := range []struct {
		name string
		end  func(*Fleet, ...*Machine)
	}{{"killed", (*Fleet).Kill}, {"without power", (*Fleet).LosePower}} {
		t.Run(ending.name, func(t *testing.T) {
			seeds(t, 8, func(t *testing.T, seed uint64) {
				// Given an owner, when it ends within 4 ms of an acknowledgement,
				s := serving(t, seed)
				owner := s.owner()
				s.onAcknowledged = func(*order) {
					s.onAcknowledged = nil
					s.loop.after(time.Duration(seed)*500*time.Microsecond, func() { ending.end(s.Fleet, owner) })
				}
				order := s.operator.put(1, 2)
				s.acknowledged(order)
				s.StartLater(time.Second, owner)
				// then what was acknowledged is read back, and the next one builds on it.
				s.readsBack(order.Content)
				s.acknowledged(s.operator.put(2, 5))
			})
		})
	}
}

func TestFrozenOwnerThatThawsAfterANewOne(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a frozen owner with an order on its way to it, and a new owner that has acknowledged another,
		s := serving(t, seed)
		old := s.owner()
		s.rival.only = []string{old.processes[0].address}
		s.Freeze(old)
		late := s.rival.put(1, 4)
		s.RunFor(200 * time.Millisecond)
		s.within(confirmTime, "there is a new owner", func() bool { o := s.CoreOwner(); return o != nil && o != old })
		order := s.operator.put(1, 3)
		s.acknowledged(order)
		// when the old owner thaws and is asked,
		s.Thaw(old)
		read := s.rival.get()
		s.answered(late)
		s.within(confirmTime, "it answers", func() bool { return read.Ended != 0 })
		// then it neither takes the order nor tells an old configuration.
		if late.Status != http.StatusPreconditionFailed {
			t.Errorf("the second order on the same version was answered %d", late.Status)
		}
		if read.Content != order.Content {
			t.Errorf("read %v, want %v", read.Content, order.Content)
		}
	})
}

func TestTwoOperatorsOnOneVersion(t *testing.T) {
	for _, test := range []struct {
		name   string
		during func(s *story, seed uint64)
	}{
		{"calm", func(*story, uint64) {}},
		{"during an election", func(s *story, seed uint64) {
			owner := s.owner()
			s.Kill(owner)
			s.StartLater(time.Second, owner)
			s.RunFor(time.Duration(seed) * 50 * time.Millisecond)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 8, func(t *testing.T, seed uint64) {
				// Given two operators, when both send the same number on the same version,
				s := serving(t, seed)
				test.during(s, seed)
				one, two := s.operator.put(1, 4), s.rival.put(1, 4)
				s.answered(one)
				s.answered(two)
				// then exactly one wins, and it is in force.
				statuses := []int{one.Status, two.Status}
				slices.Sort(statuses)
				if !slices.Equal(statuses, []int{http.StatusOK, http.StatusPreconditionFailed}) {
					t.Fatalf("answers: %v", statuses)
				}
				winner := one
				if two.Status == http.StatusOK {
					winner = two
				}
				s.readsBack(winner.Content)
				s.inForceEverywhere(winner.Content)
			})
		})
	}
}

func TestAcknowledgementsThatAreLost(t *testing.T) {
	seeds(t, 8, func(t *testing.T, seed uint64) {
		// Given an operator whose acknowledgements are all lost for a while,
		s := serving(t, seed)
		s.operator.loseAnswer = 1
		order := s.operator.put(1, 2)
		s.RunFor(1500 * time.Millisecond)
		// when another goes on from that version, the owner ends, and the first hears again,
		next := s.rival.put(2, 3)
		s.acknowledged(next)
		owner := s.owner()
		s.Kill(owner)
		s.StartLater(time.Second, owner)
		s.operator.loseAnswer = 0
		// then its order is acknowledged, though a newer one is in force.
		s.acknowledged(order)
		s.readsBack(next.Content)
	})
}

func TestLostDiskWhileAllOthersLosePower(t *testing.T) {
	for _, which := range []string{"owner", "follower"} {
		t.Run(which, func(t *testing.T) {
			seeds(t, 8, func(t *testing.T, seed uint64) {
				// Given a fresh acknowledgement, when one loses its disk and all others lose power,
				s := serving(t, seed)
				s.RunFor(5 * time.Second)
				victim := s.owner()
				if which == "follower" {
					victim = others(s.cores, victim)[seed%2]
				}
				s.onAcknowledged = func(*order) {
					s.onAcknowledged = nil
					s.LosePower(others(s.tier(), victim)...)
					s.LoseDisk(victim)
				}
				order := s.operator.put(1, 2)
				s.acknowledged(order)
				for _, m := range s.tier() {
					s.StartLater(s.loop.between(0, time.Second), m)
				}
				// then it is read back, is in force everywhere, and the next one builds on it.
				s.readsBack(order.Content)
				s.within(10*time.Second, "all proxies are ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
				s.inForceEverywhere(order.Content)
				s.acknowledged(s.operator.put(2, 3))
			})
		})
	}
}

func TestCoreCutInTwo(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given an owner that is cut off from the other two, with an operator on either side,
		s := serving(t, seed)
		owner := s.owner()
		rest := others(s.cores, owner)
		s.Cut([]*Machine{owner}, rest)
		s.operator.only = []string{owner.processes[0].address}
		s.rival.only = []string{rest[0].processes[0].address, rest[1].processes[0].address}
		lonely, joined := s.operator.put(1, 2), s.rival.put(1, 3)
		read := s.operator.get()
		// then only the larger side takes an order,
		s.acknowledged(joined)
		s.RunFor(3 * time.Second)
		if lonely.Status == http.StatusOK {
			t.Fatal("the owner that was cut off has acknowledged an order")
		}
		if read.Ended != 0 && read.Ended > joined.Ended && read.Content != joined.Content {
			t.Errorf("the owner that was cut off told %v", read.Content)
		}
		// and when they are joined, the other order is refused.
		s.Heal()
		s.answered(lonely)
		if lonely.Status != http.StatusPreconditionFailed {
			t.Errorf("the order of the smaller side was answered %d", lonely.Status)
		}
		s.readsBack(joined.Content)
	})
}

func TestOneWayCuts(t *testing.T) {
	for _, test := range []struct {
		name string
		cut  func(s *story, owner *Machine, rest []*Machine)
	}{
		{"owner to all", func(s *story, owner *Machine, rest []*Machine) {
			s.CutOneWay(owner, rest[0])
			s.CutOneWay(owner, rest[1])
		}},
		{"all to owner", func(s *story, owner *Machine, rest []*Machine) {
			s.CutOneWay(rest[0], owner)
			s.CutOneWay(rest[1], owner)
		}},
		{"owner to one", func(s *story, owner *Machine, rest []*Machine) { s.CutOneWay(owner, rest[0]) }},
		{"one to owner", func(s *story, owner *Machine, rest []*Machine) { s.CutOneWay(rest[0], owner) }},
		{"in a ring", func(s *story, owner *Machine, rest []*Machine) {
			s.CutOneWay(owner, rest[0])
			s.CutOneWay(rest[0], rest[1])
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 4, func(t *testing.T, seed uint64) {
				// Given a core in which some directions are cut, when an order is sent,
				s := serving(t, seed)
				owner := s.owner()
				test.cut(s, owner, others(s.cores, owner))
				order := s.operator.put(1, 2)
				s.RunFor(6 * time.Second)
				// then it is taken at the latest when they are joined.
				s.Heal()
				s.acknowledged(order)
				s.readsBack(order.Content)
				s.inForceEverywhere(order.Content)
			})
		})
	}
}

func TestControllerReplacedWhileAnotherIsDown(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a controller that is gone for good and replaced by an empty one elsewhere, and another that goes down,
		s := serving(t, seed)
		s.acknowledged(s.operator.put(1, 2))
		owner := s.owner()
		rest := others(s.cores, owner)
		next := s.ReplaceCore(rest[seed%2])
		s.RunFor(300 * time.Millisecond)
		down := rest[(seed+1)%2]
		s.Kill(down)
		order := s.operator.put(2, 3)
		s.RunFor(4 * time.Second)
		// when that one is back,
		s.Start(down)
		// then the order is taken, the empty one takes part, and nothing needs the old one.
		s.acknowledged(order)
		s.within(15*time.Second, "the new controller is a member", func() bool { return s.isCoreVoter(next) })
		s.LosePower(owner)
		s.acknowledged(s.operator.put(3, 4))
		s.Start(owner)
		s.inForceEverywhere(Content{Number: 4, Mark: "operator-1-4"})
	})
}

// isCoreVoter tells whether a controller's own group names it with a vote.
func (s *story) isCoreVoter(m *Machine) bool {
	running, ok := m.processes[0].handler.(*controller)
	if !ok {
		return false
	}
	for _, member := range running.replica.group.Status().Members {
		if member.ID == running.id {
			return !member.Learner
		}
	}
	return false
}

func TestCoreReplacedMemberByMember(t *testing.T) {
	seeds(t, 3, func(t *testing.T, seed uint64) {
		// Given a configuration, when each controller is replaced by an empty one elsewhere, one after the other,
		s := serving(t, seed)
		number := uint64(1)
		for _, old := range slices.Clone(s.cores) {
			next := s.ReplaceCore(old)
			s.within(20*time.Second, "the new controller is a member", func() bool { return s.isCoreVoter(next) })
			order := s.operator.put(number, number+2)
			s.acknowledged(order)
			number += 2
			s.inForceEverywhere(order.Content)
			s.RunFor(5 * time.Second)
		}
		// then the configuration is still there, and edge machines that start anew find it.
		s.KillProcess(s.edges[0].processes[0])
		s.KillProcess(s.edges[0].processes[1])
		s.RunFor(2 * time.Second)
		s.within(10*time.Second, "the proxy that started anew is ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
		s.playsWhole(2)
	})
}

func TestRolloutsOutlastTheOwner(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given an acknowledged roll-out, when all controllers lose power at once,
		s := serving(t, seed)
		roll := s.operator.rollOut(modelService, "v2", 3*time.Second)
		s.within(confirmTime, "the roll-out is acknowledged", func() bool { return roll.Ended != 0 })
		s.LosePower(s.cores...)
		s.StartLater(500*time.Millisecond, s.cores...)
		// then it is still known, and comes to its end.
		state := ""
		s.within(20*time.Second, "the roll-out is finished", func() bool {
			if state == "" {
				state = "asked"
				s.operator.rollState(modelService, func(answer operatorAnswer) {
					if answer.Target != "v2" {
						t.Errorf("the roll-out to %q is told", answer.Target)
					}
					state = answer.State
					if state != "finished" {
						s.operator.process.after(200*time.Millisecond, func() { state = "" })
					}
				})
			}
			return state == "finished"
		})
	})
}

func TestClockOfTheOwnerSteps(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		// Given a serving tier, when the owners' time of day is set,
		s := serving(t, 3)
		last := s.wholeTurn(s.edges[0], clientRequest{Program: "p", Budget: 400})
		s.StepClock(s.owner(), by)
		s.StepClock(s.ownerOf("p"), by)
		// then configurations are taken and turns go on.
		s.acknowledged(s.operator.put(1, 2))
		s.wholeTurn(s.edges[1], clientRequest{Program: "p", Budget: 400, Previous: last.ID})
	}
}

func TestDisksInTrouble(t *testing.T) {
	for _, test := range []struct {
		name    string
		trouble func(s *story, m *Machine)
		end     func(s *story, m *Machine)
	}{
		{"slow", func(s *story, m *Machine) { s.SlowDisk(m, 300*time.Millisecond) }, func(s *story, m *Machine) { s.SlowDisk(m, 2*time.Millisecond) }},
		{"silent", func(s *story, m *Machine) { s.Silence(m) }, func(s *story, m *Machine) { s.Speak(m) }},
		{"full", func(s *story, m *Machine) { s.FillDisk(m, 100) }, func(s *story, m *Machine) { s.FillDisk(m, -1) }},
		{"failing", func(s *story, m *Machine) { m.syncFails = true }, func(s *story, m *Machine) { m.syncFails = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 3, func(t *testing.T, seed uint64) {
				// Given an owner of the configuration whose disk is in trouble,
				s := serving(t, seed)
				owner := s.owner()
				test.trouble(s, owner)
				order := s.operator.put(1, 2)
				s.RunFor(5 * time.Second)
				// when the trouble is over, then the order has been taken, and all take part again.
				test.end(s, owner)
				s.acknowledged(order)
				s.readsBack(order.Content)
				s.RunFor(3 * time.Second)
				s.LosePower(others(s.cores, owner)[0])
				s.acknowledged(s.operator.put(2, 3))
			})
		})
	}
}

func TestProxyKeepsTheNewestOfItsIncarnation(t *testing.T) {
	for _, violation := range olderOffered(1) {
		t.Error(violation)
	}
}

// olderOffered plays a tier in which a proxy's new agent learns of nothing but an older configuration.
func olderOffered(seed uint64) []string {
	// Given two edge machines of which one has missed the newest configuration,
	f := New(Options{Seed: seed})
	f.Boot()
	f.operators[0].put(0, 1)
	f.RunFor(10 * time.Second)
	behind, ahead, rest := f.edges[:1], f.edges[1:2], append(append(f.counting(), f.edges[2:]...), f.edges[1])
	f.Cut(behind, rest)
	f.operators[0].put(1, 2)
	f.RunFor(3 * time.Second)
	f.clients.lookAtVersions()
	f.RunFor(time.Second)
	// when both are cut off from all others, and the other one's agent starts anew,
	f.Cut(ahead, append(f.counting(), f.edges[2:]...))
	f.Join(behind, ahead)
	f.KillProcess(ahead[0].processes[0])
	for range 40 {
		f.RunFor(time.Second)
		f.clients.lookAtVersions()
	}
	// then its proxy keeps what it has, and follows again once they are joined.
	f.Heal()
	f.RunFor(15 * time.Second)
	f.clients.lookAtVersions()
	f.RunFor(time.Second)
	return f.Violations()
}

package fleettest

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

func TestFleet_StartsInAnyOrder_TakesFirstConfiguration(t *testing.T) {
	seeds(t, 8, func(t *testing.T, seed uint64) {
		// Given machines with empty disks that start in any order, when the first configuration is sent,
		s := newScenario(t, seed)
		s.Boot()
		first := s.operator.put(0, 3)
		s.acknowledged(first)
		// then it is accepted and in force at all proxies, and turns are served.
		s.inForceEverywhere(first.Content)
		s.completesProgram(3)
	})
}

func TestOrder_LeaderKilled_IsTaken(t *testing.T) {
	seeds(t, 8, func(t *testing.T, seed uint64) {
		// Given an order that has been sent, when the leader is killed,
		s := serving(t, seed)
		leader := s.coreLeader()
		order := s.operator.put(1, 2)
		s.RunFor(time.Duration(seed) * time.Millisecond)
		s.Kill(leader)
		s.StartLater(300*time.Millisecond, leader)
		// then the order is still accepted, and in force at all proxies.
		s.acknowledged(order)
		s.readsBack(order.Content)
		s.inForceEverywhere(order.Content)
	})
}

func TestAcknowledgement_LeaderEndsRightAfter_IsDurable(t *testing.T) {
	for _, ending := range []struct {
		name string
		end  func(*Fleet, ...*Machine)
	}{{"killed", (*Fleet).Kill}, {"without power", (*Fleet).LosePower}} {
		t.Run(ending.name, func(t *testing.T) {
			seeds(t, 8, func(t *testing.T, seed uint64) {
				// Given a leader, when it ends within 4 ms of an acknowledgement,
				s := serving(t, seed)
				leader := s.coreLeader()
				s.onAcknowledged = func(*order) {
					s.onAcknowledged = nil
					s.loop.After(time.Duration(seed)*500*time.Microsecond, func() { ending.end(s.Fleet, leader) })
				}
				order := s.operator.put(1, 2)
				s.acknowledged(order)
				s.StartLater(time.Second, leader)
				// then the acknowledged configuration is read back, and the next order on it is accepted.
				s.readsBack(order.Content)
				s.acknowledged(s.operator.put(2, 5))
			})
		})
	}
}

func TestLeader_ThawsAfterElection_NeverServesStaleState(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a frozen leader to which an order has been sent, and a new leader that has acknowledged another order,
		s := serving(t, seed)
		old := s.coreLeader()
		s.secondOperator.onlyControllers = []string{old.processes[0].address}
		s.Freeze(old)
		late := s.secondOperator.put(1, 4)
		s.RunFor(200 * time.Millisecond)
		s.within(confirmTime, "there is a new leader", func() bool { o := s.CoreLeader(); return o != nil && o != old })
		order := s.operator.put(1, 3)
		s.acknowledged(order)
		// when the old leader thaws and an operator reads from it,
		s.Thaw(old)
		read := s.secondOperator.get()
		s.answered(late)
		s.within(confirmTime, "the old leader answers the read", func() bool { return read.Ended != 0 })
		// then it neither accepts the late order nor serves an old configuration.
		if late.Status != http.StatusPreconditionFailed {
			t.Errorf("the second order on the same version got status %d, want 412", late.Status)
		}
		if read.Content != order.Content {
			t.Errorf("read %v, want %v", read.Content, order.Content)
		}
	})
}

func TestOrders_TwoOnOneVersion_OneWins(t *testing.T) {
	for _, test := range []struct {
		name   string
		during func(s *scenario, seed uint64)
	}{
		{"without faults", func(*scenario, uint64) {}},
		{"during an election", func(s *scenario, seed uint64) {
			leader := s.coreLeader()
			s.Kill(leader)
			s.StartLater(time.Second, leader)
			s.RunFor(time.Duration(seed) * 50 * time.Millisecond)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 8, func(t *testing.T, seed uint64) {
				// Given two operators, when both send an order with the same number on the same version,
				s := serving(t, seed)
				test.during(s, seed)
				one, two := s.operator.put(1, 4), s.secondOperator.put(1, 4)
				s.answered(one)
				s.answered(two)
				// then exactly one order is accepted, and it is in force at all proxies.
				statuses := []int{one.Status, two.Status}
				slices.Sort(statuses)
				if !slices.Equal(statuses, []int{http.StatusOK, http.StatusPreconditionFailed}) {
					t.Fatalf("the orders got statuses %v, want one 200 and one 412", statuses)
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

func TestOrder_AcknowledgementLost_RetryIsAcknowledged(t *testing.T) {
	seeds(t, 8, func(t *testing.T, seed uint64) {
		// Given an operator that gets no acknowledgements for a while, since all are lost,
		s := serving(t, seed)
		s.operator.ackLossRate = 1
		order := s.operator.put(1, 2)
		s.RunFor(1500 * time.Millisecond)
		// when another operator sends an order on the new version, the leader is killed, and the first operator gets answers again,
		next := s.secondOperator.put(2, 3)
		s.acknowledged(next)
		leader := s.coreLeader()
		s.Kill(leader)
		s.StartLater(time.Second, leader)
		s.operator.ackLossRate = 0
		// then its order is acknowledged, although a newer configuration is in force.
		s.acknowledged(order)
		s.readsBack(next.Content)
	})
}

func TestAcknowledgement_DiskLostAndAllPowerLost_IsDurable(t *testing.T) {
	for _, which := range []string{"leader", "follower"} {
		t.Run(which, func(t *testing.T) {
			seeds(t, 8, func(t *testing.T, seed uint64) {
				// Given an acknowledgement, when right after it one controller loses its disk and all other machines lose power,
				s := serving(t, seed)
				s.RunFor(5 * time.Second)
				victim := s.coreLeader()
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
				// then the configuration is read back and in force at all proxies, and the next order on it is accepted.
				s.readsBack(order.Content)
				s.within(10*time.Second, "all proxies are ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
				s.inForceEverywhere(order.Content)
				s.acknowledged(s.operator.put(2, 3))
			})
		})
	}
}

func TestCore_Partitioned_OnlyMajorityTakesOrders(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a leader that is partitioned from the other two controllers, with an operator on either side,
		s := serving(t, seed)
		leader := s.coreLeader()
		rest := others(s.cores, leader)
		s.Partition([]*Machine{leader}, rest)
		s.operator.onlyControllers = []string{leader.processes[0].address}
		s.secondOperator.onlyControllers = []string{rest[0].processes[0].address, rest[1].processes[0].address}
		minority, majority := s.operator.put(1, 2), s.secondOperator.put(1, 3)
		read := s.operator.get()
		// then only the majority accepts an order,
		s.acknowledged(majority)
		s.RunFor(3 * time.Second)
		if minority.Status == http.StatusOK {
			t.Fatal("the partitioned leader acknowledged an order")
		}
		if read.Ended != 0 && read.Ended > majority.Ended && read.Content != majority.Content {
			t.Errorf("the partitioned leader served the stale configuration %v", read.Content)
		}
		// and when the partition heals, the other order is refused.
		s.Heal()
		s.answered(minority)
		if minority.Status != http.StatusPreconditionFailed {
			t.Errorf("the order to the minority got status %d, want 412", minority.Status)
		}
		s.readsBack(majority.Content)
	})
}

func TestCore_OneWayPartitions_TakesOrderAfterHealing(t *testing.T) {
	for _, test := range []struct {
		name      string
		partition func(s *scenario, leader *Machine, rest []*Machine)
	}{
		{"from the leader to all others", func(s *scenario, leader *Machine, rest []*Machine) {
			s.PartitionOneWay(leader, rest[0])
			s.PartitionOneWay(leader, rest[1])
		}},
		{"from all others to the leader", func(s *scenario, leader *Machine, rest []*Machine) {
			s.PartitionOneWay(rest[0], leader)
			s.PartitionOneWay(rest[1], leader)
		}},
		{"from the leader to one", func(s *scenario, leader *Machine, rest []*Machine) { s.PartitionOneWay(leader, rest[0]) }},
		{"from one to the leader", func(s *scenario, leader *Machine, rest []*Machine) { s.PartitionOneWay(rest[0], leader) }},
		{"in a ring", func(s *scenario, leader *Machine, rest []*Machine) {
			s.PartitionOneWay(leader, rest[0])
			s.PartitionOneWay(rest[0], rest[1])
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 4, func(t *testing.T, seed uint64) {
				// Given controllers between which some directions are partitioned, when an order is sent,
				s := serving(t, seed)
				leader := s.coreLeader()
				test.partition(s, leader, others(s.cores, leader))
				order := s.operator.put(1, 2)
				s.RunFor(6 * time.Second)
				// then it is accepted, if not earlier, once the links have healed.
				s.Heal()
				s.acknowledged(order)
				s.readsBack(order.Content)
				s.inForceEverywhere(order.Content)
			})
		})
	}
}

func TestCore_ControllerReplacedWhileAnotherIsDown_TakesOrders(t *testing.T) {
	seeds(t, 6, func(t *testing.T, seed uint64) {
		// Given a controller that is lost for good and replaced by an empty one at another address, and another one that is killed,
		s := serving(t, seed)
		s.acknowledged(s.operator.put(1, 2))
		leader := s.coreLeader()
		rest := others(s.cores, leader)
		next := s.ReplaceCore(rest[seed%2])
		s.RunFor(300 * time.Millisecond)
		down := rest[(seed+1)%2]
		s.Kill(down)
		order := s.operator.put(2, 3)
		s.RunFor(4 * time.Second)
		// when the killed one is back,
		s.Start(down)
		// then the order is accepted, the new controller votes, and the group tolerates the loss of its leader.
		s.acknowledged(order)
		s.within(15*time.Second, "the new controller is a voter", func() bool { return s.isCoreVoter(next) })
		s.LosePower(leader)
		s.acknowledged(s.operator.put(3, 4))
		s.Start(leader)
		s.inForceEverywhere(Content{Number: 4, Label: "operator-1-4"})
	})
}

// isCoreVoter reports whether a controller is a voter by the members that it knows.
func (s *scenario) isCoreVoter(m *Machine) bool {
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

func TestCore_ReplacedMemberByMember_KeepsConfiguration(t *testing.T) {
	seeds(t, 3, func(t *testing.T, seed uint64) {
		// Given a configuration, when each controller is replaced by an empty one at another address, one after the other,
		s := serving(t, seed)
		number := uint64(1)
		for _, old := range slices.Clone(s.cores) {
			next := s.ReplaceCore(old)
			s.within(20*time.Second, "the new controller is a voter", func() bool { return s.isCoreVoter(next) })
			order := s.operator.put(number, number+2)
			s.acknowledged(order)
			number += 2
			s.inForceEverywhere(order.Content)
			s.RunFor(5 * time.Second)
		}
		// then the configuration is kept, and an edge machine whose processes restart receives it.
		s.KillProcess(s.edges[0].processes[0])
		s.KillProcess(s.edges[0].processes[1])
		s.RunFor(2 * time.Second)
		s.within(10*time.Second, "the restarted proxy is ready", func() bool { return len(s.readyProxies()) == len(s.edges) })
		s.completesProgram(2)
	})
}

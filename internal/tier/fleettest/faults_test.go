package fleettest

import (
	"testing"
	"time"
)

func TestRollout_AllControllersLosePower_Finishes(t *testing.T) {
	seeds(t, 4, func(t *testing.T, seed uint64) {
		// Given an acknowledged roll-out, when all controllers lose power at once,
		s := serving(t, seed)
		roll := s.operator.rollOut(modelService, "v2", 3*time.Second)
		s.within(confirmTime, "the roll-out is acknowledged", func() bool { return roll.Ended != 0 })
		s.LosePower(s.cores...)
		s.StartLater(500*time.Millisecond, s.cores...)
		// then the roll-out is still known, and finishes.
		state := ""
		s.within(20*time.Second, "the roll-out is finished", func() bool {
			if state == "" {
				state = "asked"
				s.operator.rolloutState(modelService, func(answer operatorAnswer) {
					if answer.Target != "v2" {
						t.Errorf("the roll-out's target is %q, want v2", answer.Target)
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

func TestLeader_ClockSteps_TierServes(t *testing.T) {
	for _, by := range []time.Duration{-time.Hour, -time.Second, time.Second, time.Hour} {
		// Given a serving tier, when the clocks of the leaders step,
		s := serving(t, 3)
		last := s.completeTurn(s.edges[0], clientRequest{Program: testProgram, Budget: 400})
		s.StepClock(s.coreLeader(), by)
		s.StepClock(s.shardLeader(), by)
		// then orders are accepted, and the program continues.
		s.acknowledged(s.operator.put(1, 2))
		s.completeTurn(s.edges[1], clientRequest{Program: testProgram, Budget: 400, Previous: last.ID})
	}
}

func TestLeader_DiskFaults_OrderIsTakenAfterwards(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(s *scenario, m *Machine)
		end    func(s *scenario, m *Machine)
	}{
		{"slow", func(s *scenario, m *Machine) { s.SlowDisk(m, 300*time.Millisecond) }, func(s *scenario, m *Machine) { s.SlowDisk(m, 2*time.Millisecond) }},
		{"stalled", func(s *scenario, m *Machine) { s.StallDisk(m) }, func(s *scenario, m *Machine) { s.ResumeDisk(m) }},
		{"full", func(s *scenario, m *Machine) { s.FillDisk(m, 100) }, func(s *scenario, m *Machine) { s.FillDisk(m, -1) }},
		{"failing", func(_ *scenario, m *Machine) { m.syncFails = true }, func(_ *scenario, m *Machine) { m.syncFails = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			seeds(t, 3, func(t *testing.T, seed uint64) {
				// Given a leader of the core whose disk is faulty,
				s := serving(t, seed)
				leader := s.coreLeader()
				test.inject(s, leader)
				order := s.operator.put(1, 2)
				s.RunFor(5 * time.Second)
				// when the fault is over, then the order is accepted, and the group tolerates the loss of another controller.
				test.end(s, leader)
				s.acknowledged(order)
				s.readsBack(order.Content)
				s.RunFor(3 * time.Second)
				s.LosePower(others(s.cores, leader)[0])
				s.acknowledged(s.operator.put(2, 3))
			})
		})
	}
}

func TestProxy_OlderUpdateOffered_KeepsNewest(t *testing.T) {
	for _, violation := range runOlderUpdateOffered(1) {
		t.Error(violation)
	}
}

// runOlderUpdateOffered runs a fleet in which a proxy's restarted agent can learn only an older configuration than the proxy has. It
// returns the violations.
func runOlderUpdateOffered(seed uint64) []string {
	// Given two edge machines, one of which has missed the newest configuration,
	f := New(Options{Seed: seed})
	f.Boot()
	f.operators[0].put(0, 1)
	f.RunFor(10 * time.Second)
	behind, ahead, rest := f.edges[:1], f.edges[1:2], append(append(f.quorumMachines(), f.edges[2:]...), f.edges[1])
	f.Partition(behind, rest)
	f.operators[0].put(1, 2)
	f.RunFor(3 * time.Second)
	f.clients.pollVersions()
	f.RunFor(time.Second)
	// when both are partitioned from all other machines, and the agent of the other one restarts,
	f.Partition(ahead, append(f.quorumMachines(), f.edges[2:]...))
	f.HealLinks(behind, ahead)
	f.KillProcess(ahead[0].processes[0])
	for range 40 {
		f.RunFor(time.Second)
		f.clients.pollVersions()
	}
	// then its proxy keeps its configuration, and receives updates again once the links have healed.
	f.Heal()
	f.RunFor(15 * time.Second)
	f.clients.pollVersions()
	f.RunFor(time.Second)
	return f.Violations()
}

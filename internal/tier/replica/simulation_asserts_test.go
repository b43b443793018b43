package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// newGroupWithLeader starts a group without faults and waits for its leader.
func newGroupWithLeader(t *testing.T, seed uint64, members, spares int) (*simulation, *node) {
	t.Helper()
	sim := newSimulation(seed, members, spares, noFaults)
	sim.startAll()
	found := sim.runUntil(sim.now+time.Second, func() bool { return sim.leader() != nil })
	if !found {
		t.Fatalf("no leader within a second")
	}
	return sim, sim.leader()
}

// requireSafe fails the test if the checker has found a violation.
func (s *simulation) requireSafe(t *testing.T) {
	t.Helper()
	if s.checker.violation != "" {
		t.Fatal(s.checker.violation)
	}
}

// commitsWithin proposes commands to the current leader until one is acknowledged. It returns false on timeout.
func (s *simulation) commitsWithin(within time.Duration) bool {
	end := s.now + within
	done := s.checker.commands
	for s.now < end && s.checker.violation == "" {
		if n := s.leader(); n != nil {
			s.propose(n)
		}
		next := min(end, s.now+testHeartbeat)
		if s.runUntil(next, func() bool { return s.checker.commands > done }) {
			return true
		}
	}
	return false
}

// others returns all running nodes except one.
func (s *simulation) others(except *node) []*node {
	var others []*node
	for _, n := range s.nodes {
		if n != except && n.alive {
			others = append(others, n)
		}
	}
	return others
}

var anyOrder = cmpopts.SortSlices(func(a, b Member) bool { return a.ID < b.ID })

// requireMembers waits until the committed members are the given ones.
func (s *simulation) requireMembers(t *testing.T, within time.Duration, want []Member) {
	t.Helper()
	s.runUntil(s.now+within, func() bool { return cmp.Equal(s.checker.members, want, anyOrder) })
	if difference := cmp.Diff(want, s.checker.members, anyOrder); difference != "" {
		t.Fatalf("committed members after %v (-want +got):\n%s", within, difference)
	}
	s.requireSafe(t)
}

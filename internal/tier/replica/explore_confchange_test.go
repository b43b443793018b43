package replica

import (
	"flag"
	"hash/maphash"
	"testing"
	"time"
)

// extraDepth is added to the depth of explorations around a membership change.
var extraDepth = flag.Int("deeper", 0, "number of events by which to deepen the exploration of membership changes")

// exploreConfChange visits all states up to a depth, each only once. It returns how many there are, in how many of them the
// group was confirmed to be complete without c, and the first violation.
func exploreConfChange(start *confChangeState, depth int) (states, replaced int, violation string) {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	frontier := []*confChangeState{start}
	for ; depth > 0; depth-- {
		var reached []*confChangeState
		for i, s := range frontier {
			for _, next := range s.successors() {
				if next.violation != "" {
					return len(seen), replaced, next.violation
				}
				key := maphash.Bytes(seed, next.encode())
				if seen[key] {
					continue
				}
				seen[key] = true
				if next.replacedInTerm > 0 {
					replaced++
				}
				if depth > 1 {
					reached = append(reached, next)
				}
			}
			frontier[i] = nil
		}
		frontier = reached
	}
	return len(seen), replaced, ""
}

// confChangeExplorations are the starting points: how far the change from a, b, c to a, b, d has come, and how many events
// of each kind may follow. The depths keep each exploration to a few seconds.
var confChangeExplorations = []struct {
	name   string
	begin  func(t *testing.T, s *confChangeState)
	budget confChangeBudget
	depth  int
}{
	{
		name: "d has not been added yet",
		begin: func(_ *testing.T, s *confChangeState) {
			s.setTargetEverywhere(membersNamed("a", "b", "d"))
		},
		budget: confChangeBudget{campaigns: 2, crashes: 1, heartbeats: 1},
		depth:  6,
	},
	{
		name: "d needs a snapshot",
		begin: func(t *testing.T, s *confChangeState) {
			s.propose(indexA)
			s.deliverAll(t, 2)
			s.snapshot(indexA)
			s.setTargetEverywhere(membersNamed("a", "b", "d"))
		},
		budget: confChangeBudget{campaigns: 1, crashes: 1, heartbeats: 1, snapshots: 1},
		depth:  6,
	},
	{
		name: "d is a learner that has caught up",
		begin: func(t *testing.T, s *confChangeState) {
			s.addLearner(t)
			s.setTargetEverywhere(membersNamed("a", "b", "d"))
		},
		budget: confChangeBudget{campaigns: 2, crashes: 1, heartbeats: 1},
		depth:  6,
	},
	{
		name: "c is inactive",
		begin: func(t *testing.T, s *confChangeState) {
			s.addLearner(t)
			s.members[indexC].down = true
			s.deliverAll(t, 6)
			s.setTargetEverywhere(membersNamed("a", "b", "d"))
			s.members[indexC].down = false
		},
		budget: confChangeBudget{campaigns: 2, crashes: 1, heartbeats: 1},
		depth:  6,
	},
	{
		name: "c has been removed, and a read confirms it",
		begin: func(t *testing.T, s *confChangeState) {
			s.addLearner(t)
			s.setTargetEverywhere(membersNamed("a", "b", "d"))
			for range 20 {
				newest := s.members[indexA].replica.configurations.latest()
				if newest.find("c") == nil {
					return
				}
				s.deliverAll(t, 1)
			}
			t.Fatal("c is still a member after 20 rounds of heartbeats")
		},
		budget: confChangeBudget{campaigns: 1, crashes: 1, reads: 1, proposals: 1},
		depth:  7,
	},
}

func TestExploration_OrdersAroundConfChange_AreSafe(t *testing.T) {
	for _, tc := range confChangeExplorations {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			s := newConfChangeState(t)
			tc.begin(t, s)
			s.budget = tc.budget
			depth := tc.depth + *extraDepth - raceDepthReduction
			began := time.Now()
			states, replaced, violation := exploreConfChange(s, depth)
			if violation != "" {
				t.Errorf("after %d states: %s", states, violation)
			}
			t.Logf("%d states to depth %d, %d of them after c was replaced, %v", states, depth, replaced, time.Since(began).Round(time.Millisecond))
		})
	}
}

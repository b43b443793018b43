package replica

import (
	"flag"
	"hash/maphash"
	"testing"
	"time"
)

// deeper is how much further than usual orders of events around a change of members are explored.
var deeper = flag.Int("deeper", 0, "explore orders of events around a change of members so much deeper")

// exploreChange visits all worlds up to a depth, each only once, and returns how many there were and what was violated first.
func exploreChange(start *changeWorld, depth int) (states, finished int, violation string) {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	frontier := []*changeWorld{start}
	for ; depth > 0; depth-- {
		var reached []*changeWorld
		for i, w := range frontier {
			for _, next := range w.successors() {
				if next.violation != "" {
					return len(seen), finished, next.violation
				}
				key := maphash.Bytes(seed, next.describe())
				if seen[key] {
					continue
				}
				seen[key] = true
				if next.finished > 0 {
					finished++
				}
				if depth > 1 {
					reached = append(reached, next)
				}
			}
			frontier[i] = nil
		}
		frontier = reached
	}
	return len(seen), finished, ""
}

// changeExplorations are the starting points: how far the change from a, b, c to a, b, d has come, and what may happen from
// there. Depths are what a few seconds allow.
var changeExplorations = []struct {
	name  string
	begin func(t *testing.T, w *changeWorld)
	left  changeAllowance
	depth int
}{
	{
		name: "d is to come",
		begin: func(_ *testing.T, w *changeWorld) {
			w.setTargetEverywhere(membersNamed("a", "b", "d"))
		},
		left:  changeAllowance{campaigns: 2, crashes: 1, heartbeats: 1},
		depth: 6,
	},
	{
		name: "d needs a snapshot",
		begin: func(t *testing.T, w *changeWorld) {
			w.propose(atA)
			w.deliverAll(t, 2)
			w.snapshot(atA)
			w.setTargetEverywhere(membersNamed("a", "b", "d"))
		},
		left:  changeAllowance{campaigns: 1, crashes: 1, heartbeats: 1, snapshots: 1},
		depth: 6,
	},
	{
		name: "d is about to get its vote",
		begin: func(t *testing.T, w *changeWorld) {
			w.addLearner(t)
			w.setTargetEverywhere(membersNamed("a", "b", "d"))
		},
		left:  changeAllowance{campaigns: 2, crashes: 1, heartbeats: 1},
		depth: 6,
	},
	{
		name: "c is inactive",
		begin: func(t *testing.T, w *changeWorld) {
			w.addLearner(t)
			w.members[atC].down = true
			w.deliverAll(t, 6)
			w.setTargetEverywhere(membersNamed("a", "b", "d"))
			w.members[atC].down = false
		},
		left:  changeAllowance{campaigns: 2, crashes: 1, heartbeats: 1},
		depth: 6,
	},
	{
		name: "c has lost its vote, and a read confirms it",
		begin: func(t *testing.T, w *changeWorld) {
			w.addLearner(t)
			w.setTargetEverywhere(membersNamed("a", "b", "d"))
			for range 20 {
				newest := w.members[atA].replica.configurations.latest()
				if newest.find("c") == nil {
					return
				}
				w.deliverAll(t, 1)
			}
			t.Fatal("c stays")
		},
		left:  changeAllowance{campaigns: 1, crashes: 1, reads: 1, proposals: 1},
		depth: 7,
	},
}

func TestExploration_OrdersAroundConfChange_AreSafe(t *testing.T) {
	for _, tc := range changeExplorations {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newChangeWorld(t)
			tc.begin(t, w)
			w.left = tc.left
			depth := tc.depth + *deeper - raceDepthReduction
			began := time.Now()
			states, finished, violation := exploreChange(w, depth)
			if violation != "" {
				t.Errorf("after %d states: %s", states, violation)
			}
			t.Logf("%d states to depth %d, %d of them after the end of c, %v", states, depth, finished, time.Since(began).Round(time.Millisecond))
		})
	}
}

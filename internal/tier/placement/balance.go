package placement

import (
	"slices"

	"mastusher/internal/tier/view"
)

// minImbalance is the difference in replicas between two stores from which on one is moved. A smaller one can't become less by a move.
const minImbalance = 2

// Balance returns the placement with one replica moved, where a move mends something: a shard that violates the policy's limits and
// wouldn't any more, or else a store that has at least two replicas more than another. It is for calm times: nothing may be lost,
// missing or draining. One replica at a time, and never back and forth: each move lowers the violations, or the imbalance without
// raising the violations.
func Balance(shards []view.ShardPlacement, inputs Inputs) (next []view.ShardPlacement, changed bool) {
	usable := sorted(inputs.Stores)
	load := loadOf(shards)
	if move, found := bestMove(shards, usable, inputs.Policy, load); found {
		next = slices.Clone(shards)
		replicas := slices.Clone(next[move.shard].Replicas)
		replicas[move.replica] = move.to
		next[move.shard].Replicas = replicas
		return next, true
	}
	return shards, false
}

// move is one replica that goes to another store.
type move struct {
	shard   int
	replica int // its position among the shard's
	to      Store
	mended  int // replicas beyond the limits before, less those after
	gain    int // difference in load between the two stores
}

// bestMove finds the move that mends the most, and of these the one between the stores that differ the most.
func bestMove(shards []view.ShardPlacement, usable []Store, policy Policy, load map[string]int) (best move, found bool) {
	for number := range shards {
		replicas := shards[number].Replicas
		before := newSpread(policy, replicas)
		for at := range replicas {
			for _, to := range usable {
				if before.nodes[to.Node] {
					continue
				}
				candidate := move{shard: number, replica: at, to: to, gain: load[replicas[at].ID] - load[to.ID],
					mended: before.excess() - excessAfter(policy, replicas, at, to)}
				if candidate.isWorthwhile() && (!found || candidate.isBetterThan(best)) {
					best, found = candidate, true
				}
			}
		}
	}
	return best, found
}

// isWorthwhile reports whether a move mends the spread, or lessens the imbalance and doesn't harm the spread.
func (m *move) isWorthwhile() bool { return m.mended > 0 || m.mended == 0 && m.gain >= minImbalance }

func (m *move) isBetterThan(other move) bool {
	if m.mended != other.mended {
		return m.mended > other.mended
	}
	return m.gain > other.gain
}

// excessAfter is how many replicas are beyond the limits once one has moved.
func excessAfter(policy Policy, replicas []view.Replica, at int, to Store) int {
	moved := slices.Clone(replicas)
	moved[at] = to
	return newSpread(policy, moved).excess()
}

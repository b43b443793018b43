package placement

import (
	"slices"

	"mastusher/internal/tier/view"
)

// minImbalance is the difference in replicas between two stores from which a replica is moved. Moving one wouldn't make a smaller
// difference any smaller.
const minImbalance = 2

// Balance moves at most one replica and returns the resulting placement. It prefers a move that reduces the number of replicas above
// the policy's limits for zones and regions. Otherwise it moves a replica between two stores whose numbers of replicas differ by at
// least minImbalance, unless more replicas would then be above the limits. Repeated calls therefore reach a placement that stays
// unchanged. It must not be called while a store is lost, missing or draining.
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

// move is a possible move of one replica to another store.
type move struct {
	shard           int
	replica         int // index among the shard's replicas
	to              Store
	excessReduction int // replicas above the limits before the move, minus those after it
	loadDifference  int // load of the store that has the replica, minus that of the other
}

// bestMove finds the worthwhile move that reduces the excess the most and, among equal ones, has the largest load difference.
func bestMove(shards []view.ShardPlacement, usable []Store, policy Policy, load map[string]int) (best move, found bool) {
	for number := range shards {
		replicas := shards[number].Replicas
		before := newSpread(policy, replicas)
		for at := range replicas {
			for _, to := range usable {
				if before.nodes[to.Node] {
					continue
				}
				candidate := move{shard: number, replica: at, to: to, loadDifference: load[replicas[at].ID] - load[to.ID],
					excessReduction: before.excess() - excessAfter(policy, replicas, at, to)}
				if candidate.isWorthwhile() && (!found || candidate.isBetterThan(best)) {
					best, found = candidate, true
				}
			}
		}
	}
	return best, found
}

// isWorthwhile reports whether a move reduces the excess, or reduces the imbalance and keeps the excess.
func (m *move) isWorthwhile() bool {
	return m.excessReduction > 0 || m.excessReduction == 0 && m.loadDifference >= minImbalance
}

func (m *move) isBetterThan(other move) bool {
	if m.excessReduction != other.excessReduction {
		return m.excessReduction > other.excessReduction
	}
	return m.loadDifference > other.loadDifference
}

// excessAfter returns the number of replicas above the limits after the replica at an index has moved to a store.
func excessAfter(policy Policy, replicas []view.Replica, at int, to Store) int {
	moved := slices.Clone(replicas)
	moved[at] = to
	return newSpread(policy, moved).excess()
}

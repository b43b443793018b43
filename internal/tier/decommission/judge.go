package decommission

import (
	"slices"

	"mastusher/internal/tier/view"
)

// GroupStatus is what the owner of a shard reports of its replica group, after a majority has confirmed it as the owner.
type GroupStatus struct {
	Term           uint64
	PlacementIndex uint64   // index of the newest placement that the group has begun to follow
	Members        []string // identities, with and without a vote
	CaughtUp       []string // identities that have a vote and all but the newest entries
}

// PlacementIndex is the placement that has been agreed on.
type Placement struct {
	Index  uint64
	Shards []view.ShardPlacement
}

// IsDrained tells whether nothing depends on the machine any more: each shard's group has exactly the replicas that the
// placement wants, as many as there are to be, all with a vote and caught up, and none of them is the machine's. What is
// reported of groups that follow an older or a newer placement isn't believed; of a missing shard, nothing is known.
func IsDrained(retirement Operation, placement Placement, groups map[int]GroupStatus, copies int) bool {
	if len(placement.Shards) == 0 {
		return false
	}
	for number, shard := range placement.Shards {
		group, reported := groups[number]
		if !reported || group.PlacementIndex != placement.Index {
			return false
		}
		if !isComplete(group, shard.Replicas, copies) || hosts(retirement, shard.Replicas) {
			return false
		}
	}
	return true
}

// isComplete tells whether the group's members are the wanted ones and all of them have caught up.
func isComplete(group GroupStatus, wanted []view.Replica, copies int) bool {
	if len(wanted) < copies || len(group.Members) != len(wanted) || len(group.CaughtUp) != len(wanted) {
		return false
	}
	for _, replica := range wanted {
		if !slices.Contains(group.Members, replica.ID) || !slices.Contains(group.CaughtUp, replica.ID) {
			return false
		}
	}
	return true
}

// hosts tells whether any of the replicas is the machine's.
func hosts(retirement Operation, replicas []view.Replica) bool {
	return slices.ContainsFunc(replicas, func(r view.Replica) bool {
		return r.Node == retirement.Node || retirement.has(r.ID)
	})
}

package decommission

import (
	"slices"

	"mastusher/internal/tier/view"
)

// GroupStatus is what the leader of a shard's replica group reports after a majority has confirmed its leadership.
type GroupStatus struct {
	Term           uint64
	PlacementIndex uint64   // log index of the newest placement that the group follows
	Members        []string // identities of all members, voters and learners
	CaughtUp       []string // identities of the voters that have all but the newest entries
}

// Placement is the committed placement of shards.
type Placement struct {
	Index  uint64 // log index of its entry
	Shards []view.ShardPlacement
}

// IsDrained reports whether nothing depends on the store any more: the group of each shard consists of exactly the replicas of
// the placement, as many as replicationFactor, all of them voters and caught up, and none of them is the store's. It is false if a
// group's status is missing or follows an older or a newer placement.
func IsDrained(operation Operation, placement Placement, groups map[int]GroupStatus, replicationFactor int) bool {
	if len(placement.Shards) == 0 {
		return false
	}
	for number, shard := range placement.Shards {
		group, reported := groups[number]
		if !reported || group.PlacementIndex != placement.Index {
			return false
		}
		if !isComplete(group, shard.Replicas, replicationFactor) || hosts(operation, shard.Replicas) {
			return false
		}
	}
	return true
}

// isComplete reports whether the group consists of exactly the target replicas and all of them have caught up.
func isComplete(group GroupStatus, target []view.Replica, replicationFactor int) bool {
	if len(target) < replicationFactor || len(group.Members) != len(target) || len(group.CaughtUp) != len(target) {
		return false
	}
	for _, replica := range target {
		if !slices.Contains(group.Members, replica.ID) || !slices.Contains(group.CaughtUp, replica.ID) {
			return false
		}
	}
	return true
}

// hosts reports whether any of the replicas is on the operation's machine.
func hosts(operation Operation, replicas []view.Replica) bool {
	return slices.ContainsFunc(replicas, func(r view.Replica) bool {
		return r.Node == operation.Node || operation.has(r.ID)
	})
}

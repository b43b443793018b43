package store

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// A replica is surplus if it runs on this store although the newest placement does not place its shard here. It must not stop before
// its group has replaced it, as a majority for acknowledged entries may depend on its copies. Therefore the stores on which the
// shard is placed are asked periodically for the members of their groups.
const (
	reviewInterval = 2 * time.Second  // between two reviews
	maxStopTime    = 10 * time.Second // a replica that takes longer to stop violates an invariant
)

// surplus lists the surplus replicas.
func (s *Store) surplus() []*shard {
	var found []*shard
	for _, running := range s.running() {
		if target, known := s.placementOf(running.number); known && !contains(target.Replicas, s.options.ID) {
			found = append(found, running)
		}
	}
	return found
}

// reviewSurplus schedules a review if there are surplus replicas.
func (s *Store) reviewSurplus() {
	if len(s.surplus()) > 0 {
		s.scheduleReview()
	}
}

// scheduleReview schedules a review unless one is already scheduled.
func (s *Store) scheduleReview() {
	s.mutex.Lock()
	scheduled := s.reviewScheduled
	s.reviewScheduled = true
	s.mutex.Unlock()
	if !scheduled {
		s.options.AfterFunc(reviewInterval, s.review)
	}
}

// review queries the stores on which the shards of surplus replicas are placed, and schedules the next review. It does nothing if
// there are no surplus replicas.
func (s *Store) review() {
	s.mutex.Lock()
	s.reviewScheduled = false
	index := s.placementIndex
	s.mutex.Unlock()
	found := s.surplus()
	if len(found) == 0 {
		return
	}
	for _, running := range found {
		s.checkStopping(running)
	}
	for _, address := range s.placedAddresses(found) {
		s.options.QueryMembers(address, func(response wire.ShardMembersResponse, err error) {
			if err == nil {
				s.stopSurplus(index, response.Shards)
			}
		})
	}
	s.scheduleReview()
}

// placedAddresses lists the addresses of the stores on which the newest placement places the shards, each once.
func (s *Store) placedAddresses(shards []*shard) []string {
	var addresses []string
	for _, running := range shards {
		target, _ := s.placementOf(running.number)
		for _, replica := range target.Replicas {
			if !slices.Contains(addresses, replica.Address) {
				addresses = append(addresses, replica.Address)
			}
		}
	}
	return addresses
}

// stopSurplus stops the surplus replicas that their groups have replaced according to their leaders' reports, by the placement with
// the index.
func (s *Store) stopSurplus(index uint64, reported []wire.ShardMembers) {
	for _, members := range reported {
		running := s.shard(members.Shard)
		target, known := s.placementOf(members.Shard)
		if running == nil || !known || members.Placement != index || !s.isReplaced(target, members) || !s.startStopping(running, index) {
			continue
		}
		level.Info(s.options.Logger).Log("msg", "replica removed", "shard", running.number, "placement", index)
		running.group.StopAndForget(func() { s.stopped(running) })
	}
}

// isReplaced reports whether this store's replica is no longer needed: the placement does not name this store, the members that the
// shard's leader reported with the confirmation of a majority are exactly the placed ones, and all of them are caught up. Every later
// leader is then elected by these members, so no acknowledged entry depends on this replica.
func (s *Store) isReplaced(target view.ShardPlacement, reported wire.ShardMembers) bool {
	if len(reported.IDs) != len(target.Replicas) || contains(target.Replicas, s.options.ID) {
		return false
	}
	for _, replica := range target.Replicas {
		if !slices.Contains(reported.IDs, replica.ID) || !slices.Contains(reported.CaughtUp, replica.ID) {
			return false
		}
	}
	return true
}

// startStopping marks a replica as stopping. It returns false if the replica is already stopping or the placement has changed.
func (s *Store) startStopping(running *shard, index uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.placementIndex != index || !running.stoppingSince.IsZero() {
		return false
	}
	running.stoppingSince = s.options.Now()
	return true
}

// checkStopping counts an invariant violation if a replica has been stopping for longer than maxStopTime.
func (s *Store) checkStopping(running *shard) {
	s.mutex.Lock()
	since := running.stoppingSince
	s.mutex.Unlock()
	if since.IsZero() {
		return
	}
	if lasts := s.options.Now().Sub(since); lasts > maxStopTime {
		s.options.Invariants.Violated(invariant.SurplusReplica, "shard", running.number, "lasts", lasts)
	}
}

// stopped removes a replica that has stopped. If its shard has been placed on this store again, the replica is reopened with the
// state on its disk.
func (s *Store) stopped(ended *shard) {
	s.markRemoved(ended.number)
	s.mutex.Lock()
	delete(s.shards, ended.number)
	s.mutex.Unlock()
	s.options.AfterFunc(openRetryDelay, s.reapplyPlacement)
}

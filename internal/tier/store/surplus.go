package store

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// A replica is surplus if it runs here although the newest placement has its shard elsewhere. It must not stop before its
// group has replaced it, as it may have the only copies of acknowledged entries that complete a majority. So the stores of the
// placement are asked, at intervals, which members their groups have.
const (
	reviewInterval = 2 * time.Second  // between two reviews
	maxStopTime    = 10 * time.Second // a replica that stops for longer violates an invariant
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

// reviewSurplus schedules a review, if there are surplus replicas.
func (s *Store) reviewSurplus() {
	if len(s.surplus()) > 0 {
		s.scheduleReview()
	}
}

// scheduleReview schedules a review, unless one is.
func (s *Store) scheduleReview() {
	s.mutex.Lock()
	scheduled := s.reviewScheduled
	s.reviewScheduled = true
	s.mutex.Unlock()
	if !scheduled {
		s.options.AfterFunc(reviewInterval, s.review)
	}
}

// review queries the stores that should have what is surplus here, and schedules the next review, until nothing is.
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

// placedAddresses lists the stores on which the newest placement has the shards, each once.
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

// stopSurplus stops the surplus replicas that their groups have replaced, as their leaders reported, by the placement of that
// index.
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

// isReplaced reports whether a shard's leader, confirmed by a majority, has exactly the members of the placement, each caught
// up, and not this store. Every later leader is then elected by these, so no acknowledged entry needs this replica.
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

// startStopping marks a replica as stopping. It reports false if it is already, or if the placement has changed since.
func (s *Store) startStopping(running *shard, index uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.placementIndex != index || !running.stoppingSince.IsZero() {
		return false
	}
	running.stoppingSince = s.options.Now()
	return true
}

// checkStopping counts a violation if a replica doesn't stop.
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

// stopped removes a replica that has stopped. If it is placed here again by now, it opens with what its disk has.
func (s *Store) stopped(ended *shard) {
	s.markRemoved(ended.number)
	s.mutex.Lock()
	delete(s.shards, ended.number)
	s.mutex.Unlock()
	s.options.AfterFunc(openRetryDelay, s.reapplyPlacement)
}

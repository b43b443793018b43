package store

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Pace of the questions about replicas that are in excess, and the patience with one.
const (
	reviewInterval = 2 * time.Second
	membersTimeout = 700 * time.Millisecond
)

// maxStopTime is how long a replica may take to stop.
const maxStopTime = 10 * time.Second

// surplus lists the shards that run here although the newest placement doesn't want them here: their replicas have moved to
// other stores, or are about to.
func (s *Store) surplus() []*shard {
	var found []*shard
	for _, running := range s.running() {
		if wanted, known := s.placementOf(running.number); known && !contains(wanted.Replicas, s.options.ID) {
			found = append(found, running)
		}
	}
	return found
}

// targetMembers returns what the newest placement says of a shard.
func (s *Store) placementOf(number int) (view.ShardPlacement, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if number >= len(s.placement.Shards) {
		return view.ShardPlacement{}, false
	}
	return s.placement.Shards[number], true
}

// reviewSurplus has replicas in excess looked at after a pause, if there are any.
func (s *Store) reviewSurplus() {
	if len(s.surplus()) > 0 {
		s.scheduleReview()
	}
}

// scheduleReview has replicas in excess looked at after a pause, once.
func (s *Store) scheduleReview() {
	s.mutex.Lock()
	planned := s.reviewScheduled
	s.reviewScheduled = true
	s.mutex.Unlock()
	if !planned {
		s.options.AfterFunc(reviewInterval, s.review)
	}
}

// review asks the stores that are to have what is in excess here whether they do, until nothing is.
func (s *Store) review() {
	s.mutex.Lock()
	s.reviewScheduled = false
	index := s.placementIndex
	s.mutex.Unlock()
	found := s.surplus()
	if len(found) == 0 {
		return
	}
	var addresses []string
	for _, running := range found {
		s.checkStopping(running)
		wanted, _ := s.placementOf(running.number)
		for _, replica := range wanted.Replicas {
			if !slices.Contains(addresses, replica.Address) {
				addresses = append(addresses, replica.Address)
			}
		}
	}
	for _, address := range addresses {
		s.options.QueryMembers(address, func(answer wire.ShardMembersResponse, err error) {
			if err == nil {
				s.stopSurplus(index, answer.Shards)
			}
		})
	}
	s.scheduleReview()
}

// stopSurplus stops the replicas that their groups have certainly done without since the placement of that index.
func (s *Store) stopSurplus(index uint64, told []wire.ShardMembers) {
	for _, members := range told {
		running := s.shard(members.Shard)
		wanted, known := s.placementOf(members.Shard)
		if running == nil || !known || members.Placement != index || !s.isSuperseded(wanted, members) || !s.startStopping(running, index) {
			continue
		}
		level.Info(s.options.Logger).Log("msg", "replica has moved away", "shard", running.number, "placement", index)
		running.group.Stop(func() { s.stopped(running) })
	}
}

// isSuperseded tells whether a shard's owner has told, as a majority confirmed, that the group has just the members that the
// placement wants, each of them with all that is committed, and not this store. Every later owner is then elected by these:
// nothing that was acknowledged needs this replica.
func (s *Store) isSuperseded(wanted view.ShardPlacement, told wire.ShardMembers) bool {
	if len(told.IDs) != len(wanted.Replicas) || contains(wanted.Replicas, s.options.ID) {
		return false
	}
	for _, replica := range wanted.Replicas {
		if !slices.Contains(told.IDs, replica.ID) || !slices.Contains(told.CaughtUp, replica.ID) {
			return false
		}
	}
	return true
}

// startStopping notes that a replica is to be stopped, unless it is already or the placement has changed meanwhile.
func (s *Store) startStopping(running *shard, index uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.placementIndex != index || !running.stoppingSince.IsZero() {
		return false
	}
	running.stoppingSince = s.options.Now()
	return true
}

// checkStopping counts a replica that doesn't stop.
func (s *Store) checkStopping(running *shard) {
	s.mutex.Lock()
	since := running.stoppingSince
	s.mutex.Unlock()
	if since.IsZero() {
		return
	}
	if lasts := s.options.Now().Sub(since); lasts > maxStopTime {
		s.options.Invariants.Violated(invariant.ExcessReplica, "shard", running.number, "lasts", lasts)
	}
}

// stopped forgets a replica that has ended. If it is wanted here again by now, it opens with what its disk has.
func (s *Store) stopped(ended *shard) {
	s.markRemoved(ended.number)
	s.mutex.Lock()
	delete(s.shards, ended.number)
	s.mutex.Unlock()
	s.options.AfterFunc(openRetryDelay, s.reapplyPlacement)
}

// queryByTransport asks a store in a goroutine of its own.
func queryByTransport(pool *transport.Pool) func(address string, done func(wire.ShardMembersResponse, error)) {
	return func(address string, done func(wire.ShardMembersResponse, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), membersTimeout)
			defer cancel()
			done(transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{}))
		}()
	}
}

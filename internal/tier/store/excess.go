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
	excessPause  = 2 * time.Second
	membersLimit = 700 * time.Millisecond
)

// mostLeaving is how long a replica may take to stop.
const mostLeaving = 10 * time.Second

// excess lists the shards that run here although the newest placement doesn't want them here: their replicas have moved to
// other stores, or are about to.
func (s *Store) excess() []*shard {
	var found []*shard
	for _, running := range s.running() {
		if wanted, known := s.wanted(running.number); known && !contains(wanted.Replicas, s.options.ID) {
			found = append(found, running)
		}
	}
	return found
}

// wanted returns what the newest placement says of a shard.
func (s *Store) wanted(number int) (view.ShardPlacement, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if number >= len(s.placement.Shards) {
		return view.ShardPlacement{}, false
	}
	return s.placement.Shards[number], true
}

// reviewExcess has replicas in excess looked at after a pause, if there are any.
func (s *Store) reviewExcess() {
	if len(s.excess()) > 0 {
		s.reviewSoon()
	}
}

// reviewSoon has replicas in excess looked at after a pause, once.
func (s *Store) reviewSoon() {
	s.mutex.Lock()
	planned := s.reviewing
	s.reviewing = true
	s.mutex.Unlock()
	if !planned {
		s.options.After(excessPause, s.review)
	}
}

// review asks the stores that are to have what is in excess here whether they do, until nothing is.
func (s *Store) review() {
	s.mutex.Lock()
	s.reviewing = false
	index := s.placed
	s.mutex.Unlock()
	found := s.excess()
	if len(found) == 0 {
		return
	}
	var addresses []string
	for _, running := range found {
		s.checkLeaving(running)
		wanted, _ := s.wanted(running.number)
		for _, replica := range wanted.Replicas {
			if !slices.Contains(addresses, replica.Address) {
				addresses = append(addresses, replica.Address)
			}
		}
	}
	for _, address := range addresses {
		s.options.Ask(address, func(answer wire.ShardMembersResponse, err error) {
			if err == nil {
				s.leave(index, answer.Shards)
			}
		})
	}
	s.reviewSoon()
}

// leave stops the replicas that their groups have certainly done without since the placement of that index.
func (s *Store) leave(index uint64, told []wire.ShardMembers) {
	for _, members := range told {
		running := s.shard(members.Shard)
		wanted, known := s.wanted(members.Shard)
		if running == nil || !known || members.Placement != index || !s.isWithout(wanted, members) || !s.mayLeave(running, index) {
			continue
		}
		level.Info(s.options.Logger).Log("msg", "replica has moved away", "shard", running.number, "placement", index)
		running.group.Stop(func() { s.left(running) })
	}
}

// isWithout tells whether a shard's owner has told, as a majority confirmed, that the group has just the members that the
// placement wants, each of them with all that is committed, and not this store. Every later owner is then elected by these:
// nothing that was acknowledged needs this replica.
func (s *Store) isWithout(wanted view.ShardPlacement, told wire.ShardMembers) bool {
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

// mayLeave notes that a replica is to be stopped, unless it is already or the placement has changed meanwhile.
func (s *Store) mayLeave(running *shard, index uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.placed != index || !running.leaving.IsZero() {
		return false
	}
	running.leaving = s.options.Now()
	return true
}

// checkLeaving counts a replica that doesn't stop.
func (s *Store) checkLeaving(running *shard) {
	s.mutex.Lock()
	since := running.leaving
	s.mutex.Unlock()
	if since.IsZero() {
		return
	}
	if lasts := s.options.Now().Sub(since); lasts > mostLeaving {
		s.options.Checks.Violated(invariant.ExcessReplica, "shard", running.number, "lasts", lasts)
	}
}

// left forgets a replica that has ended. If it is wanted here again by now, it opens with what its disk has.
func (s *Store) left(ended *shard) {
	s.depart(ended.number)
	s.mutex.Lock()
	delete(s.shards, ended.number)
	s.mutex.Unlock()
	s.options.After(openPause, s.placeAgain)
}

// askByLink asks a store in a goroutine of its own.
func askByLink(pool *transport.Pool) func(address string, done func(wire.ShardMembersResponse, error)) {
	return func(address string, done func(wire.ShardMembersResponse, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), membersLimit)
			defer cancel()
			done(transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{}))
		}()
	}
}

package store

import (
	"strconv"
	"strings"

	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/view"
)

// Recover opens the shards whose members this store's disk knows, so that their groups elect owners while the placement is
// still on its way. Those whose members it doesn't know wait for the placement. Each takes part as soon as it is open, and follows
// the placement that is known by then. Replicas that have moved away stay closed.
func (s *Store) Recover() error {
	defer s.reviewSurplus()
	names, err := storage.ListGroups(s.options.Disk)
	if err != nil {
		return err
	}
	for _, name := range names {
		number, ok := shardNumber(name)
		if !ok || s.isRemoved(number) {
			continue
		}
		begun, err := storage.HasSnapshot(s.options.Disk, name)
		if err != nil {
			return err
		}
		if !begun {
			continue
		}
		if err := s.open(number, view.ShardPlacement{}); err != nil {
			return err
		}
		s.placeShard(number)
	}
	return nil
}

// placeShard tells a shard of the newest placement, which may have come before the shard was open.
func (s *Store) placeShard(number int) {
	s.mutex.Lock()
	index, placement, opened := s.placementIndex, s.placement, s.shards[number]
	s.mutex.Unlock()
	if opened != nil && number < len(placement.Shards) {
		opened.setPlacement(index, membersOf(placement.Shards[number].Replicas))
	}
}

// shardNumber returns the number of the shard whose group has the name.
func shardNumber(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, groupPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0
}

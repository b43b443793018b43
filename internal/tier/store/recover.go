package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/view"
)

// Recover opens the shards whose members are stored on this store's disk, so that their groups elect leaders before the placement
// arrives. Shards without stored members wait for the placement. Each shard takes part as soon as it is open, and follows the
// placement known by then. Removed replicas are not opened. Recover returns the first error of the disk.
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
		hasMembers, err := storage.HasSnapshot(s.options.Disk, name)
		if err != nil {
			return err
		}
		if !hasMembers {
			continue
		}
		if err := s.open(number, view.ShardPlacement{}); err != nil {
			return err
		}
		s.placeShard(number)
	}
	return nil
}

// MemberAddresses lists the addresses of the other members of the groups that run on this store, each once, in descending order of the
// number of groups that they share.
func (s *Store) MemberAddresses() []string {
	groups := map[string]int{}
	for _, running := range s.running() {
		status := running.group.Status()
		for _, address := range status.OtherAddresses() {
			groups[address]++
		}
	}
	return slices.SortedFunc(maps.Keys(groups), func(a, b string) int {
		return cmp.Or(cmp.Compare(groups[b], groups[a]), strings.Compare(a, b))
	})
}

// placeShard passes the newest placement to a shard, as the placement may have arrived before the shard was open.
func (s *Store) placeShard(number int) {
	s.mutex.Lock()
	index, placement, opened := s.placementIndex, s.placement, s.shards[number]
	s.mutex.Unlock()
	if opened != nil && number < len(placement.Shards) {
		opened.setPlacement(index, membersOf(placement.Shards[number].Replicas))
	}
}

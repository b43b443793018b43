package store

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/view"
)

// openRetryDelay is the time after which opening a shard is retried.
const openRetryDelay = 300 * time.Millisecond

// groupPrefix is the prefix of the names of the shards' groups and their files. It is stored on disk and sent in messages.
const groupPrefix = "shard-"

// ApplyUpdate applies a disseminated placement. Updates of other sections are ignored.
func (s *Store) ApplyUpdate(update view.Update) {
	if update.Section != view.PlacementSection {
		return
	}
	var placement view.Placement
	if err := json.Unmarshal(update.Body, &placement); err != nil {
		level.Error(s.options.Logger).Log("msg", "decoding placement failed", "err", err)
		return
	}
	s.ApplyPlacement(update.Stamp.Sequence, placement)
}

// ApplyPlacement applies a placement with the index of its entry in the configuration shard's log: it opens the shards placed on this
// store, and makes every group that this store leads change to the members placed. If a shard cannot be opened, because the disk is
// full or fails, the placement known as the newest by then is applied after a delay.
func (s *Store) ApplyPlacement(index uint64, placement view.Placement) {
	s.mutex.Lock()
	if index >= s.placementIndex {
		s.placementIndex, s.placement = index, placement
	}
	s.mutex.Unlock()
	failed := false
	for number, target := range placement.Shards {
		if s.shouldRun(number, target) {
			if err := s.open(number, target); err != nil {
				level.Error(s.options.Logger).Log("msg", "opening shard failed, retrying", "shard", number, "err", err)
				failed = true
				continue
			}
		}
		if running := s.shard(number); running != nil {
			running.setPlacement(index, membersOf(target.Replicas))
		}
	}
	if failed {
		s.options.AfterFunc(openRetryDelay, s.reapplyPlacement)
	}
	s.reviewSurplus()
}

// reapplyPlacement applies the newest placement again.
func (s *Store) reapplyPlacement() {
	s.mutex.Lock()
	index, placement := s.placementIndex, s.placement
	s.mutex.Unlock()
	s.ApplyPlacement(index, placement)
}

// shouldRun reports whether a shard's replica should run on this store: it is placed here, or it is one of the group's initial
// members and was not removed.
func (s *Store) shouldRun(number int, target view.ShardPlacement) bool {
	if contains(target.Replicas, s.options.ID) {
		return true
	}
	return contains(target.Initial, s.options.ID) && !s.isRemoved(number)
}

// placementOf returns the newest placement of a shard.
func (s *Store) placementOf(number int) (view.ShardPlacement, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if number >= len(s.placement.Shards) {
		return view.ShardPlacement{}, false
	}
	return s.placement.Shards[number], true
}

// open starts the replica of a shard unless it is running. Only one shard is opened at a time; running shards continue, however long
// the disk takes.
func (s *Store) open(number int, target view.ShardPlacement) error {
	s.openingToken <- struct{}{}
	defer func() { <-s.openingToken }()
	if s.shard(number) != nil {
		return nil
	}
	if err := s.clearRemoved(number); err != nil {
		return err
	}
	opening := &shard{number: number, logger: s.options.Logger, machine: newMachine(), afterFunc: s.options.AfterFunc}
	opened, err := group.Open(s.groupOptions(opening, target))
	if err != nil {
		return err
	}
	opening.group = opened
	s.mutex.Lock()
	s.shards[number] = opening
	s.mutex.Unlock()
	s.options.RunGroup(opened)
	return nil
}

// groupOptions returns the options of a shard's group. InitialMembers is set only if this store is one of the initial members.
func (s *Store) groupOptions(opening *shard, target view.ShardPlacement) group.Options {
	options := replica.Options{
		ID:                     s.options.ID,
		Address:                s.options.Address,
		HeartbeatInterval:      heartbeatInterval,
		ElectionTimeout:        electionTimeout,
		InitialElectionTimeout: initialElectionTimeout,
		Seed:                   s.options.Seed + uint64(opening.number),
	}
	if contains(target.Initial, s.options.ID) {
		options.InitialMembers = membersOf(target.Initial)
	}
	return group.Options{
		Name:           groupName(opening.number),
		Replica:        options,
		Disk:           s.options.Disk,
		StateMachine:   opening.machine,
		CompactionLock: &s.compactionLock,
		ReceiveLimiter: s.receiveLimiter,
		QueueBudget:    s.queueBudget,
		Send:           s.options.Send,
		Logger:         s.options.Logger,
		Clock:          s.options.Clock,
		OnStatusChange: opening.onStatusChange,
		RunBackground:  s.options.RunBackground,
	}
}

func groupName(number int) string { return groupPrefix + strconv.Itoa(number) }

// shardNumber returns the number of the shard whose group has the name, or false if the name is not that of a shard's group.
func shardNumber(name string) (int, bool) {
	digits, ok := strings.CutPrefix(name, groupPrefix)
	if !ok {
		return 0, false
	}
	number, err := strconv.Atoi(digits)
	return number, err == nil && number >= 0
}

func contains(replicas []view.Replica, id string) bool {
	return slices.ContainsFunc(replicas, func(r view.Replica) bool { return r.ID == id })
}

func membersOf(replicas []view.Replica) []replica.Member {
	members := make([]replica.Member, len(replicas))
	for i, r := range replicas {
		members[i] = replica.Member{ID: r.ID, Address: r.Address}
	}
	return members
}

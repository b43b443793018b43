package store

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Store runs the replicas of one machine.
type Store struct {
	options        Options
	compactionLock sync.Mutex             // held by the group that compacts
	receiveLimiter *group.SnapshotLimiter // shared by the groups that receive snapshots
	openingToken   chan struct{}          // contains a token while a shard is being opened; acquired before mutex
	queueBudget    *group.QueueBudget     // shared by the queues of all groups
	groups         groupRunner

	largeContents   atomic.Int64  // bytes that large contents being proposed will take
	waitingContents chan struct{} // has an element for each call that waits for memory for large contents

	mutex           sync.Mutex // guards the fields below, and shard.stoppingSince
	shards          map[int]*shard
	placementIndex  uint64         // index of placement; 0: no placement is known
	placement       view.Placement // newest placement
	removed         map[int]bool   // shards whose replicas were removed since the start; the disk also has markers of earlier ones
	reviewScheduled bool           // a review of surplus replicas is scheduled
}

// New returns a store without shards. Recover opens the shards on the disk, ApplyPlacement those placed on this store. Groups run
// until ctx ends.
func New(ctx context.Context, options Options) *Store {
	if options.QueueBudgetBytes == 0 {
		options.QueueBudgetBytes = defaultQueueBudgetBytes
	}
	if options.Send == nil {
		options.Send = group.SendOver(options.Pool, wire.MethodReplica)
	}
	if options.QueryMembers == nil {
		options.QueryMembers = QueryMembers(options.Pool)
	}
	if options.AfterFunc == nil {
		options.AfterFunc = func(delay time.Duration, run func()) { time.AfterFunc(delay, run) }
	}
	s := &Store{
		options:        options,
		receiveLimiter: group.NewSnapshotLimiter(maxSnapshotReceivers),
		openingToken:   make(chan struct{}, 1),

		waitingContents: make(chan struct{}, maxWaitingContents),

		queueBudget: group.NewQueueBudget(options.QueueBudgetBytes),
		groups:      groupRunner{logger: options.Logger, failed: make(chan error, 1)},
		shards:      map[int]*shard{},
		removed:     map[int]bool{},
	}
	if options.RunGroup == nil {
		s.options.RunGroup = func(opened *group.Group) { s.groups.run(ctx, opened) }
	}
	return s
}

// Register adds the store's handlers.
func (s *Store) Register(handlers *transport.Handlers) {
	transport.HandleNotice(handlers, wire.MethodReplica, func(_ string, envelope group.Envelope) { s.Deliver(envelope) })
	transport.Handle(handlers, wire.MethodBeginTurn, s.handleBeginTurn)
	transport.Handle(handlers, wire.MethodEndTurn, s.handleEndTurn)
	transport.Handle(handlers, wire.MethodChain, s.handleChain)
	transport.Handle(handlers, wire.MethodShardMembers, s.handleShardMembers)
}

// Deliver passes a message to its group. Messages for a group that does not run on this store are dropped; members retransmit.
func (s *Store) Deliver(envelope group.Envelope) {
	if len(envelope.Group) <= len(groupPrefix) {
		return
	}
	number, err := strconv.Atoi(envelope.Group[len(groupPrefix):])
	if err != nil {
		return
	}
	if running := s.shard(number); running != nil {
		running.group.Deliver(envelope.Message)
	}
}

// Stats returns the number of replicas that run on this store, and the sum of their sizes.
func (s *Store) Stats() (shards int, sum group.MemberStats) {
	running := s.running()
	for _, shard := range running {
		stats := shard.group.Stats()
		sum.StateBytes += stats.StateBytes
		sum.SnapshotBytes += stats.SnapshotBytes
		sum.LogBytes += stats.LogBytes
		sum.Entries += stats.Entries
	}
	return len(running), sum
}

// shard returns the replica of a shard, or nil if it does not run on this store.
func (s *Store) shard(number int) *shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shards[number]
}

// running lists the replicas that run on this store, sorted by shard number.
func (s *Store) running() []*shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := slices.Collect(maps.Values(s.shards))
	slices.SortFunc(list, func(a, b *shard) int { return cmp.Compare(a.number, b.number) })
	return list
}

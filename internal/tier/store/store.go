// Package store runs the replicas of the shards that a storage machine holds and answers for those that it owns.
package store

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Times of a shard's group.
const (
	heartbeatInterval      = 150 * time.Millisecond
	electionTimeout        = 600 * time.Millisecond
	initialElectionTimeout = 120 * time.Millisecond // until an owner has been heard since the start
)

// defaultQueueBudgetBytes bounds what waits for the turns of all shards where the options say nothing.
const defaultQueueBudgetBytes = 8 << 20

// maxSnapshotReceivers is the number of shards that receive snapshots at the same time.
const maxSnapshotReceivers = 2

// Options sets a store up.
type Options struct {
	ID      string // identity on its disk
	Address string // of its link
	Disk    storage.Disk
	Pool    *transport.Pool
	Logger  log.Logger
	Seed    uint64
	Now     func() time.Time

	Invariants *invariant.Counter

	QueueBudgetBytes int // of messages and commands that wait for the turns of all shards; 0: 8 MiB

	// In place of the pool, the process's own clock and goroutines, where a test runs the store in memory; nil: those.
	Send      func(address string, envelope group.Envelope) // must not block
	Clock     func() time.Duration
	RunGroup  func(opened *group.Group)             // drives a group; must not block
	AfterFunc func(delay time.Duration, run func()) // calls run after a while
	// QueryMembers has the store at an address report on the groups that it owns; must not block.
	QueryMembers func(address string, done func(answer wire.ShardMembersResponse, err error))
}

// Store holds the replicas of one machine.
type Store struct {
	options        Options
	compactionLock sync.Mutex             // held by the group that compacts
	receiveLimiter *group.SnapshotLimiter // of the groups that receive snapshots
	openingToken   chan struct{}          // shouldRun a token while a shard opens; taken before mutex
	queueBudget    *group.QueueBudget     // of what waits for the groups' turns

	mutex           sync.Mutex
	shards          map[int]*shard
	placementIndex  uint64         // placementIndex of the newest placement; 0: none is known
	placement       view.Placement // that is it
	removed         map[int]bool   // shards whose replicas have moved away since the start; the disk has marks of all
	reviewScheduled bool           // a look at replicas in excess is planned
	failures        chan error
}

// New returns a store without shards; those on its disk open once the placement is known.
func New(ctx context.Context, options Options) *Store {
	if options.QueueBudgetBytes == 0 {
		options.QueueBudgetBytes = defaultQueueBudgetBytes
	}
	if options.Send == nil {
		options.Send = sendByTransport(options.Pool)
	}
	s := &Store{options: options, receiveLimiter: group.NewSnapshotLimiter(maxSnapshotReceivers), queueBudget: group.NewQueueBudget(options.QueueBudgetBytes),
		openingToken: make(chan struct{}, 1), shards: map[int]*shard{}, removed: map[int]bool{}, failures: make(chan error, 1)}
	if options.QueryMembers == nil {
		s.options.QueryMembers = queryByTransport(options.Pool)
	}
	if options.AfterFunc == nil {
		s.options.AfterFunc = func(delay time.Duration, run func()) { time.AfterFunc(delay, run) }
	}
	if options.RunGroup == nil {
		s.options.RunGroup = func(opened *group.Group) { go s.run(ctx, opened) }
	}
	return s
}

// run drives a group until ctx ends.
func (s *Store) run(ctx context.Context, opened *group.Group) {
	if err := opened.Run(ctx); err != nil {
		level.Error(s.options.Logger).Log("msg", "replica ended", "group", opened.Name(), "err", err)
		s.reportFailure(err)
	}
}

// reportFailure keeps the first error that a group has ended with.
func (s *Store) reportFailure(err error) {
	select {
	case s.failures <- err:
	default:
	}
}

// Failures tells of a group that has ended for good, which can't be repaired while the process runs.
func (s *Store) Failures() <-chan error { return s.failures }

// Register adds what the store answers.
func (s *Store) Register(handlers *transport.Handlers) {
	transport.HandleNotice(handlers, wire.MethodReplica, func(_ string, envelope group.Envelope) { s.Deliver(envelope) })
	transport.Handle(handlers, wire.MethodBeginTurn, s.handleBeginTurn)
	transport.Handle(handlers, wire.MethodEndTurn, s.handleEndTurn)
	transport.Handle(handlers, wire.MethodChain, s.handleChain)
	transport.Handle(handlers, wire.MethodShardMembers, s.handleShardMembers)
}

// openRetryDelay is the time after which shards are tried again that couldn't be opened.
const openRetryDelay = 300 * time.Millisecond

// ApplyPlacement takes over a new placement, with the index of its entry in the configuration shard's log: shards that are this
// store's open, and every owner moves its group to its members. A shard that can't be opened, since the disk is full or
// fails, is tried again after a pause, by the newest placement that is known then.
func (s *Store) ApplyPlacement(index uint64, placement view.Placement) {
	s.mutex.Lock()
	if index >= s.placementIndex {
		s.placementIndex, s.placement = index, placement
	}
	s.mutex.Unlock()
	failed := false
	for number, wanted := range placement.Shards {
		if s.shouldRun(number, wanted) {
			if err := s.open(number, wanted); err != nil {
				level.Error(s.options.Logger).Log("msg", "shard cannot be opened", "shard", number, "err", err)
				failed = true
				continue
			}
		}
		if running := s.shard(number); running != nil {
			running.setPlacement(index, membersOf(wanted.Replicas))
		}
	}
	if failed {
		s.options.AfterFunc(openRetryDelay, s.reapplyPlacement)
	}
	s.reviewSurplus()
}

// reapplyPlacement goes on with the newest placement.
func (s *Store) reapplyPlacement() {
	s.mutex.Lock()
	index, placement := s.placementIndex, s.placement
	s.mutex.Unlock()
	s.ApplyPlacement(index, placement)
}

// shouldRun tells whether a shard's replica is to run here: it is wanted here, or the group begins with it and it hasn't moved away.
func (s *Store) shouldRun(number int, placement view.ShardPlacement) bool {
	if contains(placement.Replicas, s.options.ID) {
		return true
	}
	return contains(placement.Initial, s.options.ID) && !s.isRemoved(number)
}

// open starts the replica of a shard, if it doesn't run yet. The other shards go on meanwhile, however long the disk takes.
func (s *Store) open(number int, placement view.ShardPlacement) error {
	s.openingToken <- struct{}{}
	defer func() { <-s.openingToken }()
	if s.shard(number) != nil {
		return nil
	}
	if err := s.clearRemoved(number); err != nil {
		return err
	}
	opening := &shard{number: number, logger: s.options.Logger, machine: newMachine(), after: s.options.AfterFunc}
	options := replica.Options{ID: s.options.ID, Address: s.options.Address, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, InitialElectionTimeout: initialElectionTimeout,
		Seed: s.options.Seed + uint64(number)}
	if contains(placement.Initial, s.options.ID) {
		options.InitialMembers = membersOf(placement.Initial)
	}
	opened, err := group.Open(group.Options{Name: groupName(number), Replica: options, Disk: s.options.Disk,
		StateMachine: opening.machine, CompactionLock: &s.compactionLock, ReceiveLimiter: s.receiveLimiter, QueueBudget: s.queueBudget, Send: s.options.Send, Logger: s.options.Logger, Clock: s.options.Clock, OnStatusChange: opening.onStatusChange})
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

const groupPrefix = "shard-"

func groupName(number int) string { return groupPrefix + strconv.Itoa(number) }

func sendByTransport(pool *transport.Pool) func(address string, envelope group.Envelope) {
	return func(address string, envelope group.Envelope) {
		// A message that can't be queued is lost like any other; the group sends again.
		_ = transport.Notify(pool, address, wire.MethodReplica, envelope)
	}
}

func (s *Store) shard(number int) *shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.shards[number]
}

// Deliver hands a message to the group that it names. Messages for a group that doesn't run here yet are dropped: its
// handleShardMembers send again.
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

// NotLeaderError answers a call for a shard that another store owns.
type NotLeaderError struct{ Leader string }

// Error gives the owner's address.
func (e *NotLeaderError) Error() string { return e.Leader }

// ErrorKind names the kind for the link.
func (e *NotLeaderError) ErrorKind() string { return wire.KindNotLeader }

// propose has a command agreed on by the shard's group.
func (s *Store) propose(ctx context.Context, number int, command program.Command) (program.Result, error) {
	running := s.shard(number)
	if running == nil {
		return program.Result{}, &NotLeaderError{}
	}
	result, err := running.group.Propose(ctx, command)
	if err != nil {
		return program.Result{}, s.remoteError(err)
	}
	answer, ok := result.(program.Result)
	if !ok {
		return program.Result{}, fmt.Errorf("shard %d: no result", number)
	}
	return answer, nil
}

// remoteError turns a group's error into one for the link.
func (s *Store) remoteError(err error) error {
	var not *group.NotLeaderError
	if !errors.As(err, &not) {
		return err
	}
	owner := not.Leader
	if owner == s.options.Address {
		owner = ""
	}
	return &NotLeaderError{Leader: owner}
}

func (s *Store) handleBeginTurn(ctx context.Context, _ string, request wire.BeginTurnRequest) (wire.BeginTurnResponse, error) {
	request.Turn.AtMs = s.options.Now().UnixMilli()
	result, err := s.propose(ctx, request.Shard, program.Command{Begin: &request.Turn})
	return wire.OmitCachedPrefix(result, request.CachedChains), err
}

func (s *Store) handleEndTurn(ctx context.Context, _ string, request wire.EndTurnRequest) (program.Result, error) {
	request.Turn.AtMs = s.options.Now().UnixMilli()
	return s.propose(ctx, request.Shard, program.Command{End: &request.Turn})
}

func (s *Store) handleChain(ctx context.Context, _ string, request wire.ChainRequest) (wire.ChainResponse, error) {
	running := s.shard(request.Shard)
	if running == nil {
		return wire.ChainResponse{}, &NotLeaderError{}
	}
	var answer wire.ChainResponse
	err := running.group.Read(ctx, func() { answer.Chain, answer.Found = running.machine.programs.Chain(request.Turn) })
	if err != nil {
		return wire.ChainResponse{}, s.remoteError(err)
	}
	return answer, nil
}

// handleShardMembers answers with the members of the groups that this store owns.
func (s *Store) handleShardMembers(ctx context.Context, _ string, _ wire.ShardMembersRequest) (wire.ShardMembersResponse, error) {
	answered := make(chan wire.ShardMembersResponse, 1)
	s.ReportMembers(func(answer wire.ShardMembersResponse) { answered <- answer })
	select {
	case answer := <-answered:
		return answer, nil
	case <-ctx.Done():
		return wire.ShardMembersResponse{}, ctx.Err()
	}
}

// Stats adds up what the replicas of this store hold.
func (s *Store) Stats() (shards int, sum group.MemberStats) {
	running := s.running()
	for _, shard := range running {
		held := shard.group.Stats()
		sum.StateBytes += held.StateBytes
		sum.SnapshotBytes += held.SnapshotBytes
		sum.LogBytes += held.LogBytes
		sum.Entries += held.Entries
	}
	return len(running), sum
}

// ReportMembers tells done the members of all groups that this store owns, as a majority of each has confirmed them. It doesn't
// block.
func (s *Store) ReportMembers(done func(answer wire.ShardMembersResponse)) {
	shards := s.running()
	if len(shards) == 0 {
		done(wire.ShardMembersResponse{})
		return
	}
	var mutex sync.Mutex
	var answer wire.ShardMembersResponse
	open := len(shards)
	for _, running := range shards {
		running.reportMembers(func(told wire.ShardMembers, confirmed bool) {
			mutex.Lock()
			if confirmed {
				answer.Shards = append(answer.Shards, told)
			}
			open--
			last := open == 0
			mutex.Unlock()
			if last {
				done(answer)
			}
		})
	}
}

// running lists the shards that run here, by number.
func (s *Store) running() []*shard {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := slices.Collect(maps.Values(s.shards))
	slices.SortFunc(list, func(a, b *shard) int { return cmp.Compare(a.number, b.number) })
	return list
}

// ApplyUpdate takes over a section that has been spread.
func (s *Store) ApplyUpdate(piece view.Update) {
	if piece.Section != view.PlacementSection {
		return
	}
	var placement view.Placement
	if err := json.Unmarshal(piece.Body, &placement); err != nil {
		level.Error(s.options.Logger).Log("msg", "placement cannot be read", "err", err)
		return
	}
	s.ApplyPlacement(piece.Stamp.Sequence, placement)
}

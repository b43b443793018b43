package fleettest

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

const (
	shardPrefix   = "shard-"
	recordBackoff = 200 * time.Millisecond // before a failed proposal to record a placement is repeated
)

// shardCommand is one entry of a shard's log: a command about a program, or, if Placement is set, the record that the group follows that
// placement.
type shardCommand struct {
	program.Command
	Placement uint64 `json:"placement,omitempty"`
}

// shard is a store's replica of one shard. It implements group.ChunkedStateMachine.
type shard struct {
	replica           *replicaRunner
	programs          *program.Machine
	followedPlacement uint64           // index of the newest placement that the group's log has recorded
	placementIndex    uint64           // index of the newest placement that this store knows
	targetMembers     []replica.Member // members by the newest known placement
	appliedMembers    []replica.Member // members that this replica, as leader, last set for the group
	recording         bool             // the record of a placement is being proposed
}

// savedShard is a shard's state as a snapshot holds it.
type savedShard struct {
	Programs  json.RawMessage `json:"programs"`
	Placement uint64          `json:"placement"`
}

func openShard(s *store, number int, placed view.ShardPlacement) (*shard, error) {
	opening := &shard{programs: program.New()}
	options := replica.Options{ID: s.id, Address: s.process.address, HeartbeatInterval: storeHeartbeat, ElectionTimeout: storeElectionTimeout}
	if containsReplica(placed.Initial, s.id) {
		options.InitialMembers = membersOf(placed.Initial)
	}
	opened, err := openReplica(s.process, replicaOptions{name: shardPrefix + strconv.Itoa(number), machine: opening,
		replica: options, compact: s.process.machine.fleet.options.CompactBytes, changed: opening.changed})
	opening.replica = opened
	return opening, err
}

// Apply implements group.StateMachine.
func (s *shard) Apply(_ uint64, raw json.RawMessage) any {
	var command shardCommand
	if err := json.Unmarshal(raw, &command); err != nil {
		return program.Result{Verdict: program.UnknownTurn}
	}
	if command.Placement > 0 {
		s.followedPlacement = max(s.followedPlacement, command.Placement)
		return program.Result{Verdict: program.Accepted}
	}
	return s.programs.Apply(command.Command)
}

// Snapshot implements group.StateMachine.
func (s *shard) Snapshot() (json.RawMessage, error) {
	return json.Marshal(savedShard{Programs: s.programs.Snapshot(), Placement: s.followedPlacement})
}

// Restore implements group.StateMachine.
func (s *shard) Restore(state json.RawMessage) error {
	var from savedShard
	if err := json.Unmarshal(state, &from); err != nil {
		return err
	}
	s.followedPlacement = from.Placement
	return s.programs.Restore(from.Programs)
}

// CaptureChunks implements group.ChunkedStateMachine.
func (s *shard) CaptureChunks() storage.ChunkSource {
	placement, programs := strconv.AppendUint(nil, s.followedPlacement, 10), s.programs.Capture()
	return func(write func(chunk json.RawMessage) error) error {
		if err := write(placement); err != nil {
			return err
		}
		return programs.WriteChunks(func(chunk []byte) error { return write(chunk) })
	}
}

// BeginRestore implements group.ChunkedStateMachine.
func (s *shard) BeginRestore() group.Restorer {
	return &shardRestorer{shard: s, programs: s.programs.BeginRestore()}
}

// shardRestorer restores a shard from the chunks of a snapshot: the placement, then those of the programs.
type shardRestorer struct {
	shard    *shard
	started  bool
	followed uint64
	programs *program.Restorer
}

// Add implements group.Restorer.
func (r *shardRestorer) Add(chunk json.RawMessage) error {
	if r.started {
		return r.programs.Add(chunk)
	}
	r.started = true
	return json.Unmarshal(chunk, &r.followed)
}

// Finish implements group.Restorer.
func (r *shardRestorer) Finish() error {
	r.shard.followedPlacement = r.followed
	return r.programs.Finish()
}

// setPlacement sets the target members to those of a placement, unless a newer one is known.
func (s *shard) setPlacement(index uint64, members []replica.Member) {
	if index >= s.placementIndex {
		s.placementIndex, s.targetMembers = index, members
	}
	s.reconcile()
}

// changed handles a change of the group's status.
func (s *shard) changed(status replica.Status) {
	if s.replica == nil {
		return
	}
	if status.IsLeader {
		s.reconcile()
		return
	}
	s.appliedMembers = nil
	s.replica.setMembers(status.Members)
}

// reconcile changes the group to the target members, if this replica leads it. A newer placement must first be recorded in the group's
// log; if the log has recorded a newer one than this store knows, the store changes nothing.
func (s *shard) reconcile() {
	if s.placementIndex == 0 || !s.replica.group.Status().IsLeader {
		return
	}
	switch {
	case s.placementIndex == s.followedPlacement && !slices.Equal(s.appliedMembers, s.targetMembers):
		s.appliedMembers = s.targetMembers
		s.replica.setMembers(s.targetMembers)
	case s.placementIndex > s.followedPlacement && !s.recording:
		s.recording = true
		s.replica.propose(shardCommand{Placement: s.placementIndex}, reconcileTimeout, s.recorded)
	}
}

func (s *shard) recorded(_ any, err error) {
	s.recording = false
	if err != nil {
		s.replica.process.after(recordBackoff, s.reconcile)
		return
	}
	s.reconcile()
}

// reportMembers passes the members of the group to done. They are confirmed if a majority has confirmed that this replica leads the group
// and has committed them.
func (s *shard) reportMembers(number int, done func(members wire.ShardMembers, confirmed bool)) {
	before := s.replica.group.Status()
	if !before.IsLeader {
		done(wire.ShardMembers{}, false)
		return
	}
	var after replica.Status
	s.replica.read(func() { after = s.replica.group.Status() }, queryTimeout, func(err error) {
		confirmed := err == nil && after.IsLeader && after.Term == before.Term && after.Commit >= before.LastIndex &&
			slices.Equal(before.Members, after.Members)
		members := wire.ShardMembers{Shard: number, Term: after.Term, Placement: s.followedPlacement}
		for _, member := range after.Members {
			members.IDs = append(members.IDs, member.ID)
			if !member.Learner && after.CaughtUp[member.ID] {
				members.CaughtUp = append(members.CaughtUp, member.ID)
			}
		}
		done(members, confirmed)
	})
}

// reportShards answers with the confirmed members of all groups that this store leads.
func (s *store) reportShards(call *exchange) {
	var answer wire.ShardMembersResponse
	pending := len(s.shards)
	if pending == 0 {
		call.finish(answer)
		return
	}
	for _, number := range s.numbers() {
		s.shards[number].reportMembers(number, func(members wire.ShardMembers, confirmed bool) {
			if confirmed {
				answer.Shards = append(answer.Shards, members)
			}
			if pending--; pending == 0 {
				call.finish(answer)
			}
		})
	}
}

// numbers returns the numbers of the store's shards, sorted.
func (s *store) numbers() []int {
	var numbers []int
	for number := range s.shards {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

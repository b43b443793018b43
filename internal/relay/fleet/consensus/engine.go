// Package consensus wraps the Raft library go.etcd.io/raft for the voters of a relay fleet: the log is in memory, elections are timed by
// the caller's clock, and Ready returns what must be on disk before anything that depends on it.
//
// An Engine does no I/O, reads no clock, starts no goroutine and isn't safe for concurrent use. The same inputs and seed give the same
// outputs. Package node drives it.
package consensus

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the minimum time without a leader's message after which a voter campaigns; the maximum is twice as long.
	ElectionTimeout = 600 * time.Millisecond

	snapshotEntries = 64        // entries after the last snapshot at which the next one is due
	snapshotBytes   = 128 << 10 // bytes of entries after the last snapshot at which the next one is due
	maxMessageBytes = 20 << 10  // bytes of entries in a message, which must fit into a datagram
)

// Engine is one member of the voter group. It is not safe for concurrent use: package node owns it. Times are on the caller's clock, which
// must never go back.
type Engine struct {
	ID     uint64 // of this member; the caller must not change it
	node   *raft.RawNode
	store  *raft.MemoryStorage // the log
	random uint64              // state of the random generator for election timeouts; never 0

	confState          *raftpb.ConfState // the members after entry applied
	applied            uint64            // index of the last entry that was returned as Committed
	bytesSinceSnapshot int               // bytes of entries since the last snapshot
	snapshotIndex      uint64            // index of the last entry in the last snapshot
	leaderSeenAt       time.Duration     // when this member last heard from a leader or voted for another member
	electionTimeout    time.Duration     // time without a leader after which this member campaigns; drawn for each election
	heartbeatAt        time.Duration     // when this member last sent heartbeats as leader
	readConfirmedAt    time.Duration     // when a majority last confirmed a ReadIndex
	imageStale         bool              // the next Ready must save a complete image
	membersChanged     bool              // since the last snapshot, from which a restart reads the members
	fatal              error             // the PanicError after which the engine is unusable; nil: none
}

// New returns the member with an id, restored from the image on its disk. With an empty image the member waits until a leader adds it. It
// fails if the image can't be decoded or is inconsistent.
func New(id, seed uint64, image *Image, now time.Duration) (*Engine, error) {
	e := &Engine{ID: id, store: raft.NewMemoryStorage(), random: seed | 1, confState: &raftpb.ConfState{}}
	if err := e.restore(image); err != nil {
		return nil, err
	}
	if err := e.start(now); err != nil {
		return nil, err
	}
	return e, nil
}

// Bootstrap returns the only member of a new group, whose log starts with a snapshot of data at index and term. It campaigns at once.
func Bootstrap(id, seed uint64, index, term uint64, data []byte, now time.Duration) (*Engine, error) {
	e := &Engine{ID: id, store: raft.NewMemoryStorage(), random: seed | 1, confState: &raftpb.ConfState{Voters: []uint64{id}}}
	snapshot := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{ConfState: e.confState, Index: &index, Term: &term}}
	if err := e.store.ApplySnapshot(snapshot); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	if err := e.store.SetHardState(&raftpb.HardState{Term: &term, Commit: &index}); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	e.applied, e.snapshotIndex, e.imageStale = index, index, true
	if err := e.start(now); err != nil {
		return nil, err
	}
	e.electionTimeout = 0 // no other member can be the leader
	return e, nil
}

// start creates raft's node on the restored log. Raft's own election timer is disabled: Tick starts elections by the caller's clock.
func (e *Engine) start(now time.Duration) (err error) {
	defer e.recoverPanic(&err)
	e.node, err = raft.NewRawNode(&raft.Config{ID: e.ID, ElectionTick: 1 << 30, HeartbeatTick: 1, Storage: e.store, Applied: e.applied,
		MaxSizePerMsg: maxMessageBytes, MaxCommittedSizePerReady: 1 << 20, MaxInflightMsgs: 8, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: discardLogger{}})
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	e.leaderSeenAt, e.heartbeatAt = now, now
	e.electionTimeout = e.randomElectionTimeout()
	return nil
}

// randomElectionTimeout returns a random duration from one to two times ElectionTimeout.
func (e *Engine) randomElectionTimeout() time.Duration {
	e.random ^= e.random << 13
	e.random ^= e.random >> 7
	e.random ^= e.random << 17
	return ElectionTimeout + time.Duration(e.random%uint64(ElectionTimeout))
}

// recoverPanic turns a panic of raft into a PanicError: raft panics on states that an intact log can't have. It must be deferred.
func (e *Engine) recoverPanic(err *error) {
	if value := recover(); value != nil {
		*err = &PanicError{value}
		e.fatal = *err
	}
}

// Snapshot returns the state at the start of the log; nil: none. The entries after it come with the first Ready.
func (e *Engine) Snapshot() []byte {
	snapshot, err := e.store.Snapshot()
	if err != nil || raft.IsEmptySnap(snapshot) {
		return nil
	}
	return snapshot.GetData()
}

// Position returns the term of this member and the index of the last entry of its log.
func (e *Engine) Position() LogPosition {
	last, _ := e.store.LastIndex()
	return LogPosition{e.node.BasicStatus().GetTerm(), last}
}

// Applied returns the index of the last entry that was returned as Committed.
func (e *Engine) Applied() uint64 { return e.applied }

// IsLeader reports whether this member considers itself the leader. Only ReadIndex shows whether a majority still agrees.
func (e *Engine) IsLeader() bool {
	return e.node.BasicStatus().RaftState == raft.StateLeader
}

// Leader returns the leader's id, as far as this member knows; 0: none.
func (e *Engine) Leader() uint64 { return e.node.BasicStatus().Lead }

// Voters returns the ids of the members whose votes count for a majority. They must not be changed.
func (e *Engine) Voters() []uint64 { return e.confState.GetVoters() }

// Learners returns the ids of the members that replicate the log without a vote. They must not be changed.
func (e *Engine) Learners() []uint64 { return e.confState.GetLearners() }

// InJointConfig reports whether a change of members is under way, during which decisions need majorities of both the old and the new
// voters.
func (e *Engine) InJointConfig() bool { return len(e.confState.GetVotersOutgoing()) > 0 }

// MatchIndex returns the index up to which a member's log is known to match the leader's. It is 0 if nothing is known, and on followers.
func (e *Engine) MatchIndex(id uint64) uint64 { return e.node.Status().Progress[id].Match }

// Tick sends the leader's heartbeats or starts an election if that is due. It returns a PanicError, or raft's error.
func (e *Engine) Tick(now time.Duration) (err error) {
	defer e.recoverPanic(&err)
	if e.IsLeader() {
		e.leaderSeenAt = now
		if now-e.heartbeatAt >= HeartbeatInterval {
			e.heartbeatAt = now
			e.node.Tick()
		}
		return nil
	}
	if now-e.leaderSeenAt >= e.electionTimeout && slices.Contains(e.confState.GetVoters(), e.ID) {
		e.leaderSeenAt, e.electionTimeout = now, e.randomElectionTimeout()
		return e.node.Campaign()
	}
	return nil
}

// Receive handles a message from another member. It returns the log position that the sender has according to the message, zero if the
// message shows none. After ErrOtherMember, ErrLocalMessage and decoding errors the state is unchanged.
func (e *Engine) Receive(now time.Duration, data []byte) (shown LogPosition, err error) {
	message := &raftpb.Message{}
	if err = proto.Unmarshal(data, message); err != nil {
		return shown, fmt.Errorf("consensus: %w", err)
	}
	if message.GetTo() != e.ID {
		return shown, ErrOtherMember
	}
	switch message.GetType() {
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgUnreachable, raftpb.MsgSnapStatus, raftpb.MsgCheckQuorum, raftpb.MsgStorageAppend,
		raftpb.MsgStorageApply:
		return shown, ErrLocalMessage
	case raftpb.MsgVote, raftpb.MsgPreVote:
		// A follower with a live leader, and a leader with a live majority, ignore candidates (check quorum).
		if e.IsLeader() && now-e.readConfirmedAt < ElectionTimeout || !e.IsLeader() && e.Leader() != 0 && now-e.leaderSeenAt < ElectionTimeout {
			return shown, nil
		}
	case raftpb.MsgAppResp:
		if !message.GetReject() {
			shown = LogPosition{message.GetTerm(), message.GetIndex()}
		}
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if n := len(message.GetEntries()); n > 0 {
			shown = LogPosition{message.GetTerm(), message.GetEntries()[n-1].GetIndex()}
		}
		if message.GetTerm() >= e.node.BasicStatus().GetTerm() {
			e.leaderSeenAt = now
		}
	}
	defer e.recoverPanic(&err)
	vote := e.node.BasicStatus().GetVote()
	if err := e.node.Step(message); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return shown, fmt.Errorf("consensus: %w", err)
	}
	if v := e.node.BasicStatus().GetVote(); v != vote && v != 0 && v != e.ID {
		e.leaderSeenAt = now // gives the candidate time to win the election
	}
	return shown, nil
}

// Propose proposes an entry. Without a leader the entry is dropped or Propose fails. An accepted entry may still be lost with the leader.
func (e *Engine) Propose(data []byte) (err error) {
	defer e.recoverPanic(&err)
	return e.node.Propose(data)
}

// ReadIndex asks a majority to confirm that this member still leads; then Ready.ConfirmedReads has number. A lost request is not repeated.
func (e *Engine) ReadIndex(number uint64) (err error) {
	defer e.recoverPanic(&err)
	context, err := cbor.Marshal(number)
	if err == nil {
		e.node.ReadIndex(context)
	}
	return err
}

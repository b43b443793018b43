// Package consensus wraps raft's pure core (go.etcd.io/raft) for the voters of a relay fleet: the log is in memory, elections go
// by the caller's clock, and all that must be on disk is returned in Ready before anything that depends on it.
//
// An Engine does no I/O, reads no clock, starts no goroutine and isn't safe for concurrent use; the same inputs and seed give
// the same outputs. Package node drives it.
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
	// ElectionTimeout is the time without a leader's message after which a voter campaigns, drawn from one to two times it.
	ElectionTimeout = 600 * time.Millisecond

	snapshotEntries = 64        // entries since the last snapshot, after which one is due
	snapshotBytes   = 128 << 10 // bytes of entries since the last snapshot, after which one is due
	maxMessageBytes = 20 << 10  // bytes of entries in a message, which must fit a datagram
)

// Engine is one member of the voters' group. It is not safe for concurrent use: package node owns it. Times are on the caller's clock, and
// must never go back.
type Engine struct {
	ID     uint64 // of this member; must not be changed
	node   *raft.RawNode
	store  *raft.MemoryStorage // the log
	random uint64              // state of the generator of election time-outs; never 0

	confState          *raftpb.ConfState // the members as of applied
	applied            uint64            // index of the last entry that was returned as Committed
	bytesSinceSnapshot int               // bytes of entries since the last snapshot
	snapshotIndex      uint64            // index of the last entry in the last snapshot
	leaderSeenAt       time.Duration     // when a leader, or whoever it voted for, was last heard
	electionTimeout    time.Duration     // after which without a leader this member campaigns; drawn anew for each election
	heartbeatAt        time.Duration     // of the last one that this member sent as leader
	readConfirmedAt    time.Duration     // when a read was last confirmed by a majority
	imageStale         bool              // the log on disk must be replaced by a complete one
	membersChanged     bool              // since the last snapshot, which a restart must read the members from
	fatal              error             // a PanicError; nil: none
}

// New returns the member id, restored from the image on its disk; with an empty image it waits until a leader adds it. It fails where the
// image can't be decoded or contradicts itself.
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

// Bootstrap returns the only member of a new group, whose log begins with a snapshot of data at index and term. It campaigns at once.
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
	e.electionTimeout = 0 // nobody else may lead
	return e, nil
}

// start makes raft's node on the restored log. Its ticks are not used for elections, which go by the time that Tick is given.
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

// randomElectionTimeout draws from one to two times ElectionTimeout.
func (e *Engine) randomElectionTimeout() time.Duration {
	e.random ^= e.random << 13
	e.random ^= e.random >> 7
	e.random ^= e.random << 17
	return ElectionTimeout + time.Duration(e.random%uint64(ElectionTimeout))
}

// recoverPanic turns a panic of raft's into a PanicError: raft panics on what an intact log can't hold. It must be deferred.
func (e *Engine) recoverPanic(err *error) {
	if value := recover(); value != nil {
		*err = &PanicError{value}
		e.fatal = *err
	}
}

// Snapshot returns the state that the log begins with; nil: none. Entries behind it come with the first Ready.
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

// IsLeader reports whether this member takes itself for the leader; only ReadIndex shows that a majority still does.
func (e *Engine) IsLeader() bool {
	return e.node.BasicStatus().RaftState == raft.StateLeader
}

// Leader returns the leader's id, as far as this member knows; 0: none.
func (e *Engine) Leader() uint64 { return e.node.BasicStatus().Lead }

// Voters returns the ids of the members whose votes count for a majority. They must not be changed.
func (e *Engine) Voters() []uint64 { return e.confState.GetVoters() }

// Learners returns the ids of the members that replicate the log without a vote. They must not be changed.
func (e *Engine) Learners() []uint64 { return e.confState.GetLearners() }

// InJointConfig reports whether a change of members is under way: until it is done old and new voters both must agree.
func (e *Engine) InJointConfig() bool { return len(e.confState.GetVotersOutgoing()) > 0 }

// MatchIndex returns, at the leader, the index up to which a member's log is known to be the same; 0 where nothing is known.
func (e *Engine) MatchIndex(id uint64) uint64 { return e.node.Status().Progress[id].Match }

// Tick sends a leader's heartbeats and starts elections, as far as they are due. It returns a PanicError, or raft's error.
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

// Receive steps a message from another member, and returns the log position that the message shows the sender to have; zero: it shows none.
// ErrOtherMember, ErrLocalMessage and the error of a message that can't be decoded change nothing.
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
		// A member that hears a leader, or leads with a majority, ignores candidates (check quorum).
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
		e.leaderSeenAt = now // the candidate gets its time to win
	}
	return shown, nil
}

// Propose proposes an entry. Without a leader it is dropped or an error; what is accepted may still be lost with the leader.
func (e *Engine) Propose(data []byte) (err error) {
	defer e.recoverPanic(&err)
	return e.node.Propose(data)
}

// ReadIndex asks a majority to confirm that this member still leads; once it has, number is in Ready.ConfirmedReads. A lost request is not
// repeated.
func (e *Engine) ReadIndex(number uint64) (err error) {
	defer e.recoverPanic(&err)
	context, err := cbor.Marshal(number)
	if err == nil {
		e.node.ReadIndex(context)
	}
	return err
}

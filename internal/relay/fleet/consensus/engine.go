// Package consensus wraps raft's pure core (go.etcd.io/raft) for the voters of a relay fleet: the log is in memory, elections go
// by a clock that is handed in, and all that must be on disk is handed out in Ready before anything that depends on it.
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
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval = 100 * time.Millisecond
	// ElectionTimeout is the time without a leader's message after which a voter campaigns, drawn from one to two times it.
	ElectionTimeout = 600 * time.Millisecond

	snapshotEntries = 64        // after so many entries a snapshot is due
	snapshotBytes   = 128 << 10 // or after so many bytes of them
	maxMessageBytes = 20 << 10  // bytes of entries; a message must fit a datagram
)

// Committed is a committed entry.
type Committed struct {
	Index   uint64
	Data    []byte   // nil: an entry of the engine's own
	Members []uint64 // not nil: voters and learners from this entry on
	Names   map[uint64]string
}

// Ready is what follows from the inputs so far. Save must be on disk, synced, before any of Messages leaves and before
// anything of Committed is acted on.
type Ready struct {
	Save           *Image
	Messages       []Message
	Committed      []Committed
	Snapshot       []byte // not nil: the state was replaced by this, before Committed
	ConfirmedReads []uint64
}

// Message is a message to another member.
type Message struct {
	To   uint64
	Data []byte
}

// Engine is one member of the voters' group. It is not safe for concurrent use.
type Engine struct {
	ID     uint64
	node   *raft.RawNode
	store  *raft.MemoryStorage
	random uint64

	confState          *pb.ConfState
	applied            uint64
	bytesSinceSnapshot int // bytes of entries since the last snapshot
	snapshotIndex      uint64
	leaderSeenAt       time.Duration // when a leader, or whoever it voted for, was last heard
	electionTimeout    time.Duration
	heartbeatAt        time.Duration
	readConfirmedAt    time.Duration // when a read was last confirmed by a majority
	imageStale         bool
	membersChanged     bool // since the last snapshot, which a restart must read the members from
	fatal              error
}

// memberNames are the relays' names by member, in the context of a configuration change.
type memberNames map[uint64]string

// New returns a member recovered from its disk; with an empty image it waits until a leader adds it.
func New(id, seed uint64, image *Image, now time.Duration) (*Engine, error) {
	e := &Engine{ID: id, store: raft.NewMemoryStorage(), random: seed | 1, confState: &pb.ConfState{}}
	if err := e.restore(image); err != nil {
		return nil, err
	}
	if err := e.start(now); err != nil {
		return nil, err
	}
	return e, nil
}

// Bootstrap returns the only member of a new group, whose log begins with a snapshot of data at index and term.
func Bootstrap(id, seed uint64, index, term uint64, data []byte, now time.Duration) (*Engine, error) {
	e := &Engine{ID: id, store: raft.NewMemoryStorage(), random: seed | 1, confState: &pb.ConfState{Voters: []uint64{id}}}
	snap := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: e.confState, Index: &index, Term: &term}}
	if err := e.store.ApplySnapshot(snap); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	if err := e.store.SetHardState(&pb.HardState{Term: &term, Commit: &index}); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	e.applied, e.snapshotIndex, e.imageStale = index, index, true
	if err := e.start(now); err != nil {
		return nil, err
	}
	e.electionTimeout = 0 // nobody else may lead
	return e, nil
}

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

// recoverPanic turns a panic of raft's into an error: raft panics on what an intact log can't hold.
func (e *Engine) recoverPanic(err *error) {
	if r := recover(); r != nil {
		*err = fmt.Errorf("consensus: %v", r)
		e.fatal = *err
	}
}

// Snapshot is the state that the log on disk begins with; nil: none. Entries behind it come with the first Ready.
func (e *Engine) Snapshot() []byte {
	s, err := e.store.Snapshot()
	if err != nil || raft.IsEmptySnap(s) {
		return nil
	}
	return s.GetData()
}

// Position is how far this member's log goes.
func (e *Engine) Position() LogPosition {
	last, _ := e.store.LastIndex()
	return LogPosition{e.node.BasicStatus().GetTerm(), last}
}

// Applied is the index up to which Committed has been handed out.
func (e *Engine) Applied() uint64 { return e.applied }

// IsLeader tells whether this member takes itself for the leader.
func (e *Engine) IsLeader() bool {
	return e.node.BasicStatus().RaftState == raft.StateLeader
}

// Leader is the leader's id, as far as is known; 0: none.
func (e *Engine) Leader() uint64 { return e.node.BasicStatus().Lead }

// Voters are the members whose votes count for a majority.
func (e *Engine) Voters() []uint64 { return e.confState.GetVoters() }

// Learners are the members that replicate the log without a vote.
func (e *Engine) Learners() []uint64 { return e.confState.GetLearners() }

// InJointConfig tells whether a change of members is under way.
func (e *Engine) InJointConfig() bool { return len(e.confState.GetVotersOutgoing()) > 0 }

// MatchIndex tells, at the leader, up to where a member's log is known to be the same.
func (e *Engine) MatchIndex(id uint64) uint64 { return e.node.Status().Progress[id].Match }

// Tick sends the heartbeats of a leader and starts elections, as far as they are due.
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

// Receive steps a message from another member, and returns the log position that it shows the sender to have. A message that
// can't be decoded is an error and changes nothing.
func (e *Engine) Receive(now time.Duration, data []byte) (shown LogPosition, err error) {
	m := &pb.Message{}
	if err = proto.Unmarshal(data, m); err != nil {
		return shown, fmt.Errorf("consensus: %w", err)
	}
	if m.GetTo() != e.ID {
		return shown, errors.New("consensus: a message for another member")
	}
	switch m.GetType() {
	case pb.MsgHup, pb.MsgBeat, pb.MsgUnreachable, pb.MsgSnapStatus, pb.MsgCheckQuorum, pb.MsgStorageAppend, pb.MsgStorageApply:
		return shown, errors.New("consensus: a message that members don't send each other")
	case pb.MsgVote, pb.MsgPreVote:
		// A member that hears a leader, or leads with a majority, ignores candidates (check quorum).
		if e.IsLeader() && now-e.readConfirmedAt < ElectionTimeout || !e.IsLeader() && e.Leader() != 0 && now-e.leaderSeenAt < ElectionTimeout {
			return shown, nil
		}
	case pb.MsgAppResp:
		if !m.GetReject() {
			shown = LogPosition{m.GetTerm(), m.GetIndex()}
		}
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if n := len(m.GetEntries()); n > 0 {
			shown = LogPosition{m.GetTerm(), m.GetEntries()[n-1].GetIndex()}
		}
		if m.GetTerm() >= e.node.BasicStatus().GetTerm() {
			e.leaderSeenAt = now
		}
	}
	defer e.recoverPanic(&err)
	vote := e.node.BasicStatus().GetVote()
	if err := e.node.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return shown, fmt.Errorf("consensus: %w", err)
	}
	if v := e.node.BasicStatus().GetVote(); v != vote && v != 0 && v != e.ID {
		e.leaderSeenAt = now // the candidate gets its time to win
	}
	return shown, nil
}

// Propose proposes an entry. Without a leader it is dropped or an error.
func (e *Engine) Propose(data []byte) (err error) {
	defer e.recoverPanic(&err)
	return e.node.Propose(data)
}

// ReadIndex confirms with a majority that this member still leads; the number comes back in Ready.ConfirmedReads.
func (e *Engine) ReadIndex(no uint64) (err error) {
	defer e.recoverPanic(&err)
	b, err := cbor.Marshal(no)
	if err == nil {
		e.node.ReadIndex(b)
	}
	return err
}

// AddLearner proposes a learner in place of the members in old.
func (e *Engine) AddLearner(id uint64, name string, old []uint64) error {
	return e.proposeConfChange(memberNames{id: name}, pb.ConfChangeAddLearnerNode, id, old)
}

// Promote proposes to make a learner a voter.
func (e *Engine) Promote(id uint64, name string) error {
	return e.proposeConfChange(memberNames{id: name}, pb.ConfChangeAddNode, id, nil)
}

// Remove proposes to remove members.
func (e *Engine) Remove(old []uint64) error { return e.proposeConfChange(nil, 0, 0, old) }

func (e *Engine) proposeConfChange(n memberNames, how pb.ConfChangeType, id uint64, old []uint64) (err error) {
	defer e.recoverPanic(&err)
	cc := &pb.ConfChangeV2{}
	if cc.Context, err = cbor.Marshal(n); err != nil {
		return err
	}
	remove := pb.ConfChangeRemoveNode
	for _, o := range old {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &remove, NodeId: &o})
	}
	if id != 0 {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: &how, NodeId: &id})
	}
	return e.node.ProposeConfChange(cc)
}

// Ready takes all that is ready. The caller carries it out in its order; state is asked for the state as of the last
// Committed when a snapshot is due.
func (e *Engine) Ready(now time.Duration, apply func(Committed), restore func([]byte), state func() []byte) (out Ready, err error) {
	defer e.recoverPanic(&err)
	if e.fatal != nil {
		return out, e.fatal
	}
	save := &Image{}
	for e.node.HasReady() {
		rd := e.node.Ready()
		if err = e.applySnapshot(rd.Snapshot, &out, restore); err != nil {
			return out, err
		}
		if err = e.saveEntries(&rd, save); err != nil {
			return out, err
		}
		for _, m := range rd.Messages {
			encoded, messageErr := proto.Marshal(m)
			if messageErr != nil {
				return out, fmt.Errorf("consensus: %w", messageErr)
			}
			out.Messages = append(out.Messages, Message{m.GetTo(), encoded})
			if m.GetType() == pb.MsgSnap { // it is lost or not like any other: raft asks again
				defer e.node.ReportSnapshot(m.GetTo(), raft.SnapshotFinish)
			}
		}
		if err = e.applyCommitted(rd.CommittedEntries, &out, apply); err != nil {
			return out, err
		}
		e.confirmReads(now, rd.ReadStates, &out)
		e.node.Advance(rd)
	}
	if err = e.maybeSnapshot(state); err != nil {
		return out, err
	}
	if e.imageStale {
		e.imageStale = false
		if save, err = e.Image(); err != nil {
			return out, err
		}
	}
	if !save.Empty() {
		out.Save = save
	}
	return out, nil
}

// applySnapshot replaces the state by a snapshot that the leader has sent, if there is one.
func (e *Engine) applySnapshot(snapshot *pb.Snapshot, out *Ready, restore func([]byte)) error {
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	if err := e.store.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	e.confState = snapshot.GetMetadata().GetConfState()
	e.applied, e.snapshotIndex, e.imageStale = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetIndex(), true
	out.Snapshot = snapshot.GetData()
	restore(out.Snapshot)
	return nil
}

// saveEntries adds new entries and a new HardState to the log in memory, and to what is to be saved.
func (e *Engine) saveEntries(rd *raft.Ready, save *Image) error {
	for _, entry := range rd.Entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return fmt.Errorf("consensus: %w", err)
		}
		save.Entries = append(save.Entries, encoded)
		e.bytesSinceSnapshot += len(encoded)
	}
	err := e.store.Append(rd.Entries)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if raft.IsEmptyHardState(rd.HardState) {
		return nil
	}
	if err = e.store.SetHardState(rd.HardState); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if save.HardState, err = proto.Marshal(rd.HardState); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	return nil
}

// applyCommitted hands out committed entries in their order.
func (e *Engine) applyCommitted(entries []*pb.Entry, out *Ready, apply func(Committed)) error {
	for _, entry := range entries {
		committed, err := e.toCommitted(entry)
		if err != nil {
			return err
		}
		e.applied = entry.GetIndex()
		apply(committed)
		out.Committed = append(out.Committed, committed)
	}
	return nil
}

// confirmReads hands out the numbers of reads that a majority has confirmed.
func (e *Engine) confirmReads(now time.Duration, reads []raft.ReadState, out *Ready) {
	for _, read := range reads {
		var number uint64
		if cbor.Unmarshal(read.RequestCtx, &number) == nil {
			out.ConfirmedReads = append(out.ConfirmedReads, number)
			e.readConfirmedAt = now
		}
	}
}

// maybeSnapshot compacts the log behind a snapshot of the state, if one is due.
func (e *Engine) maybeSnapshot(state func() []byte) error {
	if e.applied-e.snapshotIndex < snapshotEntries && !e.membersChanged && (e.bytesSinceSnapshot <= snapshotBytes || e.applied <= e.snapshotIndex) {
		return nil
	}
	e.membersChanged, e.bytesSinceSnapshot = false, 0
	if _, err := e.store.CreateSnapshot(e.applied, e.confState, state()); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	// Some stay, so that whoever is a little behind needs no snapshot.
	if first, _ := e.store.FirstIndex(); e.applied > first+snapshotEntries/4 {
		_ = e.store.Compact(e.applied - snapshotEntries/4)
	}
	e.snapshotIndex, e.imageStale = e.applied, true
	return nil
}

func (e *Engine) toCommitted(en *pb.Entry) (c Committed, err error) {
	c = Committed{Index: en.GetIndex(), Data: en.GetData()}
	var cc pb.ConfChangeI
	switch en.GetType() {
	case pb.EntryNormal:
		return c, nil
	case pb.EntryConfChange:
		one := &pb.ConfChange{}
		err = proto.Unmarshal(en.GetData(), one)
		cc = one
	default:
		two := &pb.ConfChangeV2{}
		err = proto.Unmarshal(en.GetData(), two)
		cc = two
	}
	if err != nil {
		return c, fmt.Errorf("consensus: members: %w", err)
	}
	e.confState, e.membersChanged = e.node.ApplyConfChange(cc), true
	c.Data, c.Names = nil, memberNames{}
	_ = cbor.Unmarshal(cc.AsV2().GetContext(), &c.Names) // the end of a joint change has none
	c.Members = slices.Concat([]uint64{}, e.confState.GetVoters(), e.confState.GetLearners(), e.confState.GetVotersOutgoing(), e.confState.GetLearnersNext())
	return c, nil
}

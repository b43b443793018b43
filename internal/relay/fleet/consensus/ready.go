package consensus

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Committed is a committed entry.
type Committed struct {
	Index   uint64
	Data    []byte            // as proposed; nil: an entry by raft itself
	Members []uint64          // ids of the voters and learners after a configuration change; nil: another entry
	Names   map[uint64]string // names of the members that the change adds, by id
}

// Ready is the output of the engine. Save must be synced to disk before any of Messages is sent and before anything in Committed takes
// effect outside.
type Ready struct {
	Save           *Image      // nil: nothing to save
	Messages       []Message   // to be sent once Save is synced; each may be lost
	Committed      []Committed // in the order of their indices
	Snapshot       []byte      // not nil: replaced the state before Committed was applied
	ConfirmedReads []uint64    // numbers of the ReadIndex calls that a majority has confirmed
}

// Message is a message to another member.
type Message struct {
	To   uint64 // the member's id
	Data []byte // for Receive of that member
}

// Ready returns the outputs since the last call; see type Ready for the order in which the caller must execute them. Meanwhile it calls
// restore with the state of a snapshot from the leader, apply with each committed entry and, if a snapshot is due, state for the state
// after the last of them. After a PanicError each call returns the same error.
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
			if m.GetType() == raftpb.MsgSnap { // it may be lost like any message, and raft then sends it again
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

// applySnapshot replaces the state by a snapshot from the leader, if there is one.
func (e *Engine) applySnapshot(snapshot *raftpb.Snapshot, out *Ready, restore func([]byte)) error {
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

// saveEntries adds new entries and a new HardState to the log in memory and to save.
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

// applyCommitted passes committed entries to apply and adds them to out, in their order.
func (e *Engine) applyCommitted(entries []*raftpb.Entry, out *Ready, apply func(Committed)) error {
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

// confirmReads adds the numbers of reads that a majority has confirmed to out.
func (e *Engine) confirmReads(now time.Duration, reads []raft.ReadState, out *Ready) {
	for _, read := range reads {
		var number uint64
		if cbor.Unmarshal(read.RequestCtx, &number) == nil {
			out.ConfirmedReads = append(out.ConfirmedReads, number)
			e.readConfirmedAt = now
		}
	}
}

// maybeSnapshot takes a snapshot of the state if one is due, and compacts the log.
func (e *Engine) maybeSnapshot(state func() []byte) error {
	if e.applied-e.snapshotIndex < snapshotEntries && !e.membersChanged && (e.bytesSinceSnapshot <= snapshotBytes || e.applied <= e.snapshotIndex) {
		return nil
	}
	e.membersChanged, e.bytesSinceSnapshot = false, 0
	if _, err := e.store.CreateSnapshot(e.applied, e.confState, state()); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	// Some entries stay, so that a member with a small lag needs no snapshot.
	if first, _ := e.store.FirstIndex(); e.applied > first+snapshotEntries/4 {
		_ = e.store.Compact(e.applied - snapshotEntries/4)
	}
	e.snapshotIndex, e.imageStale = e.applied, true
	return nil
}

package group

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Open recovers the member from its disk. A damaged disk is an error (storage.ErrCorrupt), never an empty disk; so is a state that is
// whole and that the state machine or the replica rejects (ErrStateRejected).
func Open(options Options) (*Group, error) {
	options.setDefaults()
	g := &Group{
		options:       options,
		origin:        options.Replica.ID + "@" + strconv.FormatUint(options.Replica.Seed, 16),
		wake:          make(chan struct{}, 1),
		stateMachine:  asChunked(options.StateMachine),
		peerAddresses: map[string]string{},
		pendingCalls:  map[uint64]pendingCall{},
	}
	if err := g.stateMachine.CaptureChunks()(g.keepInitialChunk); err != nil {
		return nil, err
	}
	if err := g.recover(false); err != nil {
		return nil, err
	}
	g.publish()
	return g, nil
}

// recover sets the member up with what its disk holds. A state machine that has been used starts again from its initial state.
func (g *Group) recover(used bool) error {
	disk, recovered, err := storage.Open(g.options.Disk, g.options.Name)
	if err != nil {
		return err
	}
	if err = g.writeInitialSnapshot(disk, &recovered); err != nil {
		_ = disk.Close()
		return err
	}
	if err = g.restore(disk, used); err != nil {
		_ = disk.Close()
		return err
	}
	member, err := replica.New(g.options.Replica, recovered, g.options.Clock())
	if err != nil {
		_ = disk.Close()
		return rejected(err)
	}
	g.disk, g.replica = disk, member
	g.hardState, g.entries = recovered.HardState, recovered.Entries
	g.snapshotIndex, g.logBytesAtCompaction = 0, 0
	if recovered.Snapshot != nil {
		g.snapshotIndex = recovered.Snapshot.Index
	}
	return nil
}

// writeInitialSnapshot stores the initial members at the first start, so that a later start needs no others.
func (g *Group) writeInitialSnapshot(disk *storage.Group, recovered *replica.Recovered) error {
	untouched := recovered.Snapshot == nil && len(recovered.Entries) == 0 && recovered.HardState == replica.HardState{}
	if !untouched || len(g.options.Replica.InitialMembers) == 0 {
		return nil
	}
	first := replica.Snapshot{Members: g.options.Replica.InitialMembers}
	if err := disk.Compact(first, g.writeInitialChunks, nil, replica.HardState{}); err != nil {
		return err
	}
	first.Chunks = disk.SnapshotChunks()
	recovered.Snapshot = &first
	return nil
}

// keepInitialChunk keeps a chunk of the state of a machine that has applied nothing.
func (g *Group) keepInitialChunk(chunk json.RawMessage) error {
	g.initialState = append(g.initialState, bytes.Clone(chunk))
	return nil
}

// writeInitialChunks writes what keepInitialChunk has kept.
func (g *Group) writeInitialChunks(write func(chunk json.RawMessage) error) error {
	for _, chunk := range g.initialState {
		if err := write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// restore sets the state machine to what the disk's snapshot holds, chunk by chunk; without one, to its initial state.
func (g *Group) restore(disk *storage.Group, used bool) error {
	chunks := disk.ReadChunks
	if disk.SnapshotChunks() == 0 {
		if !used {
			return nil
		}
		chunks = g.writeInitialChunks
	}
	restorer := g.stateMachine.BeginRestore()
	if err := chunks(func(chunk json.RawMessage) error { return rejected(restorer.Add(chunk)) }); err != nil {
		return err
	}
	return rejected(restorer.Finish())
}

// rejected marks an error of the state machine, or of the log's replay, as one that reading the same bytes again can't mend.
func rejected(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrStateRejected, err)
}

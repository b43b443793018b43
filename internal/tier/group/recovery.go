package group

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Open recovers the member from its disk. A corrupt disk is never treated as empty: the error is storage.ErrCorrupt. The error is
// ErrStateRejected if the disk is intact but the state machine or the replica rejects the state on it.
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

// recover initializes the member from its disk. If the state machine has been used before, it is reset even if the disk holds no
// snapshot.
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
		return wrapRejected(err)
	}
	g.disk, g.replica = disk, member
	g.hardState, g.entries = recovered.HardState, recovered.Entries
	g.snapshotIndex, g.logBytesAtCompaction = 0, 0
	if recovered.Snapshot != nil {
		g.snapshotIndex = recovered.Snapshot.Index
	}
	return nil
}

// writeInitialSnapshot saves a snapshot with the initial members at the first start, so that later starts don't need
// Options.Replica.InitialMembers.
func (g *Group) writeInitialSnapshot(disk *storage.Group, recovered *replica.Recovered) error {
	empty := recovered.Snapshot == nil && len(recovered.Entries) == 0 && recovered.HardState == replica.HardState{}
	if !empty || len(g.options.Replica.InitialMembers) == 0 {
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

// keepInitialChunk stores a chunk of the state machine's initial state, before any command was applied.
func (g *Group) keepInitialChunk(chunk json.RawMessage) error {
	g.initialState = append(g.initialState, bytes.Clone(chunk))
	return nil
}

// writeInitialChunks is a storage.ChunkSource of the initial state.
func (g *Group) writeInitialChunks(write func(chunk json.RawMessage) error) error {
	for _, chunk := range g.initialState {
		if err := write(chunk); err != nil {
			return err
		}
	}
	return nil
}

// restore restores the state machine from the snapshot on disk. Without a snapshot, it resets a used state machine to its initial
// state.
func (g *Group) restore(disk *storage.Group, used bool) error {
	chunks := disk.ReadChunks
	if disk.SnapshotChunks() == 0 {
		if !used {
			return nil
		}
		chunks = g.writeInitialChunks
	}
	restorer := g.stateMachine.BeginRestore()
	if err := chunks(func(chunk json.RawMessage) error { return wrapRejected(restorer.Add(chunk)) }); err != nil {
		return err
	}
	return wrapRejected(restorer.Finish())
}

// wrapRejected wraps an error of the state machine or the replica in ErrStateRejected, since retrying with the same data can't succeed.
func wrapRejected(err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("%w: %w", ErrStateRejected, err)
}

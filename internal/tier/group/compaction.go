package group

import "mastusher/internal/tier/replica"

// logToStateRatio is the share of the state's length that the log must reach before it is compacted, so that a large state
// is not written for little.
const logToStateRatio = 0.25

// transferBoundFactor is how many times its bound the log may reach while a snapshot is on its way to or from another
// member: a compaction overwrites that snapshot's place on disk, so that the transfer would have to restart.
const transferBoundFactor = 2

// compact replaces a long log by a snapshot and what remains after it. Entries that remain count as little as the snapshot:
// only what has been saved since makes the next compaction due. The state is written chunk by chunk; no copy of it is in
// memory.
func (g *Group) compact() error {
	bound := max(g.options.CompactionBytes, int64(logToStateRatio*float64(g.disk.SnapshotBytes())))
	if g.replica.IsSendingSnapshot() || g.replica.IsReceivingSnapshot() {
		bound *= transferBoundFactor
	}
	if g.disk.LogBytes()-g.logBytesAtCompaction < bound {
		return nil
	}
	snapshot := g.replica.SnapshotMetadata()
	if snapshot.Index <= g.snapshotIndex {
		return nil
	}
	// It takes the processor and the disk for a while: a later iteration does as well.
	if !g.options.CompactionLock.TryLock() {
		return nil
	}
	defer g.options.CompactionLock.Unlock()
	remaining := entriesAfter(g.entries, snapshot.Index)
	if err := g.disk.Compact(snapshot, g.stateMachine.WriteChunks, remaining, g.hardState); err != nil {
		return err
	}
	snapshot.Chunks = g.disk.SnapshotChunks()
	g.entries, g.snapshotIndex, g.logBytesAtCompaction = remaining, snapshot.Index, g.disk.LogBytes()
	g.mutex.Lock()
	g.input.Compact = &snapshot
	g.mutex.Unlock()
	g.signal()
	return nil
}

// entriesBefore returns the entries below the index. The result must be copied before it grows into the rest.
func entriesBefore(entries []replica.Entry, index uint64) []replica.Entry {
	for i := range entries {
		if entries[i].Index >= index {
			return entries[:i:i]
		}
	}
	return entries
}

// entriesAfter returns a copy of the entries above the index.
func entriesAfter(entries []replica.Entry, index uint64) []replica.Entry {
	for i := range entries {
		if entries[i].Index > index {
			return append([]replica.Entry(nil), entries[i:]...)
		}
	}
	return nil
}

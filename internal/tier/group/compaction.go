package group

import (
	"mastusher/internal/tier/replica"
)

// stateShare is the part of the length of the state that the log reaches at least before it is compacted, so that a large
// state isn't written for little.
const stateShare = 0.25

// mostLogs is the number of times its bound that a log may be long while a snapshot is on its way to or from another member:
// a compaction takes the place on the disk where that lies, so that it would have to begin anew.
const mostLogs = 2

// compact replaces a long log by a snapshot and what remains after it. Entries that remain count as little as the snapshot:
// only what has been saved since makes the next compaction due. The state is written part by part; no copy of it is in memory.
func (g *Group) compact() error {
	bound := max(g.options.CompactionBytes, int64(stateShare*float64(g.disk.SnapshotBytes())))
	if g.member.IsSendingSnapshot() || g.member.IsReceivingSnapshot() {
		bound *= mostLogs
	}
	if g.disk.LogBytes()-g.compacted < bound {
		return nil
	}
	snapshot := g.member.SnapshotMetadata()
	if snapshot.Index <= g.base {
		return nil
	}
	// It takes the processor and the disk for a while: another turn does as well.
	if !g.options.CompactionLock.TryLock() {
		return nil
	}
	defer g.options.CompactionLock.Unlock()
	remaining := after(g.entries, snapshot.Index)
	if err := g.disk.Compact(snapshot, g.machine.WriteChunks, remaining, g.promise); err != nil {
		return err
	}
	snapshot.Chunks = g.disk.SnapshotChunks()
	g.entries, g.base, g.compacted = remaining, snapshot.Index, g.disk.LogBytes()
	g.mutex.Lock()
	g.input.Compact = &snapshot
	g.mutex.Unlock()
	g.poke()
	return nil
}

// before returns the entries below the index.
func before(entries []replica.Entry, index uint64) []replica.Entry {
	for i := range entries {
		if entries[i].Index >= index {
			return entries[:i:i]
		}
	}
	return entries
}

// after returns a copy of the entries above the index.
func after(entries []replica.Entry, index uint64) []replica.Entry {
	for i := range entries {
		if entries[i].Index > index {
			return append([]replica.Entry(nil), entries[i:]...)
		}
	}
	return nil
}

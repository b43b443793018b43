package group

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// logToStateRatio is the share of the state's length that the log must reach before it is compacted, so that a large state
// is not written for little.
const logToStateRatio = 0.25

// transferBoundFactor is how many times its bound the log may reach while a snapshot is on its way to or from another
// member: a compaction overwrites that snapshot's place on disk, so that the transfer would have to restart.
const transferBoundFactor = 2

// compaction is the replacement of the log by a snapshot while the member goes on: it has captured the state, and another goroutine
// writes it to the slot that the log doesn't follow.
type compaction struct {
	snapshot replica.Snapshot
	disk     *storage.Compaction
	canceled atomic.Bool
	written  chan struct{} // closed once the disk isn't used by the other goroutine any more
}

// errCompactionCanceled ends the writing of a compaction that isn't needed any more.
var errCompactionCanceled = errors.New("compaction canceled")

// compact replaces a long log by a snapshot and what remains after it, in two iterations and what lies between. Entries that
// remain count as little as the snapshot: only what has been saved since makes the next compaction due.
func (g *Group) compact() error {
	if g.compaction == nil {
		if !g.isCompactionDue() {
			return nil
		}
		if err := g.beginCompaction(); err != nil {
			return err
		}
	}
	return g.finishCompaction()
}

// isCompactionDue tells whether the log has reached its bound, and another snapshot would shorten it.
func (g *Group) isCompactionDue() bool {
	bound := max(g.options.CompactionBytes, int64(logToStateRatio*float64(g.disk.SnapshotBytes())))
	if g.replica.IsSendingSnapshot() || g.replica.IsReceivingSnapshot() {
		bound *= transferBoundFactor
	}
	if g.disk.LogBytes()-g.logBytesAtCompaction < bound {
		return false
	}
	return g.replica.SnapshotMetadata().Index > g.snapshotIndex
}

// beginCompaction captures the state and has it written, unless another member that shares the lock compacts: it takes the
// processor and the disk for a while, and a later iteration does as well. A snapshot that is being received would go to the same
// slot; it is given up.
func (g *Group) beginCompaction() error {
	if !g.options.CompactionLock.TryLock() {
		return nil
	}
	snapshot := g.replica.SnapshotMetadata()
	disk, err := g.disk.BeginCompaction(snapshot)
	if err != nil {
		g.options.CompactionLock.Unlock()
		return err
	}
	g.replica.GiveUpIncomingSnapshot()
	g.releaseSnapshotSlot(false)
	begun := &compaction{snapshot: snapshot, disk: disk, written: make(chan struct{})}
	g.compaction = begun
	state := g.stateMachine.CaptureChunks()
	g.options.RunBackground(func() {
		begun.write(state)
		g.options.CompactionLock.Unlock()
		g.signal()
	})
	return nil
}

// write writes the state until it is complete or the compaction is canceled. FinishCompaction tells an error.
func (c *compaction) write(state storage.ChunkSource) {
	defer close(c.written)
	_ = c.disk.Write(func(write func(chunk json.RawMessage) error) error {
		return state(func(chunk json.RawMessage) error {
			if c.canceled.Load() {
				return errCompactionCanceled
			}
			return write(chunk)
		})
	})
}

// isWritten tells whether the disk holds the state.
func (c *compaction) isWritten() bool {
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}

// finishCompaction puts a snapshot that has been written in place of the log up to it.
func (g *Group) finishCompaction() error {
	done := g.compaction
	if done == nil || !done.isWritten() {
		return nil
	}
	g.compaction = nil
	if done.canceled.Load() {
		g.disk.AbandonCompaction(done.disk)
		g.requestSnapshot()
		return nil
	}
	snapshot, remaining := done.snapshot, entriesAfter(g.entries, done.snapshot.Index)
	if err := g.disk.FinishCompaction(done.disk, remaining, g.hardState); err != nil {
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

// cancelCompaction has a compaction under way end soon, as its slot is needed for a snapshot of another member.
func (g *Group) cancelCompaction() {
	if g.compaction != nil {
		g.compaction.canceled.Store(true)
	}
}

// awaitCompaction cancels a compaction under way and waits until it doesn't use the disk any more, for one write at most.
func (g *Group) awaitCompaction() {
	if g.compaction == nil {
		return
	}
	g.cancelCompaction()
	<-g.compaction.written
	g.disk.AbandonCompaction(g.compaction.disk) // else the disk would take its slot for in use
	g.compaction = nil
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

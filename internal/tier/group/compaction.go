package group

import (
	"encoding/json"
	"errors"
	"sync/atomic"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// logToStateRatio is the minimum ratio of the log's size to the snapshot's for a compaction, so that a large state isn't
// rewritten for a few entries.
const logToStateRatio = 0.25

// transferBoundFactor multiplies the bound on the log's size while a snapshot is being sent to or received from another member:
// a compaction overwrites that snapshot's slot on disk, so the transfer would have to restart.
const transferBoundFactor = 2

// compaction replaces the log by a snapshot while the member goes on: the state has been captured, and another goroutine writes
// it to the inactive slot on disk.
type compaction struct {
	snapshot replica.Snapshot
	disk     *storage.Compaction
	canceled atomic.Bool
	written  chan struct{} // closed once the other goroutine no longer uses the disk
}

// errCompactionCanceled stops the write of a canceled compaction.
var errCompactionCanceled = errors.New("compaction canceled")

// compact begins a compaction when one is due, and finishes it in the first iteration after its snapshot has been written. Entries
// kept after the snapshot don't count towards the next compaction, only those saved after this compaction do.
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

// shrunkStateFactor is by how much the state must have shrunk for a compaction whatever the log's length. A smaller factor gives memory
// and disk back sooner, and writes the state more often.
const shrunkStateFactor = 2

// isCompactionDue reports whether a new snapshot would shorten a log that has reached its bound, or release data that the state no longer has.
func (g *Group) isCompactionDue() bool {
	if g.replica.SnapshotMetadata().Index <= g.snapshotIndex {
		return false
	}
	return g.hasLogReachedBound() || g.hasStateShrunk()
}

// hasStateShrunk reports whether the entries in memory and the snapshot on disk hold much that the state has dropped since the last
// compaction. Compactions for this alone don't interrupt a snapshot that is being sent or received.
func (g *Group) hasStateShrunk() bool {
	if g.isTransferring() {
		return false
	}
	return shrunkStateFactor*g.stateBytes()+g.options.CompactionBytes < g.peakStateBytes
}

// hasLogReachedBound reports whether the log has grown by its bound since the last compaction.
func (g *Group) hasLogReachedBound() bool {
	bound := max(g.options.CompactionBytes, int64(logToStateRatio*float64(g.disk.SnapshotBytes())))
	if g.isTransferring() {
		bound *= transferBoundFactor
	}
	return g.disk.LogBytes()-g.logBytesAtCompaction >= bound
}

// isTransferring reports whether a snapshot is being sent or received.
func (g *Group) isTransferring() bool {
	return g.replica.IsSendingSnapshot() || g.replica.IsReceivingSnapshot()
}

// beginCompaction captures the state and starts writing it in the background. It does nothing while another member holds the
// CompactionLock, since compactions load the processor and the disk; a later iteration tries again. A snapshot that is being
// received is abandoned, because it is written to the same slot on disk.
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
	g.replica.AbortIncomingSnapshot()
	g.releaseReceiveSlot(false)
	g.peakStateBytes = g.stateBytes()
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

// write writes the state until it is complete or the compaction is canceled. FinishCompaction returns the error, if any.
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

// isWritten reports whether the write has ended, successfully or not.
func (c *compaction) isWritten() bool {
	select {
	case <-c.written:
		return true
	default:
		return false
	}
}

// finishCompaction replaces the log by a snapshot that has been written and the entries after it. It does nothing while the
// snapshot is being written. If the compaction was canceled, it requests the leader's snapshot instead.
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

// cancelCompaction stops a running compaction after its current chunk, since a snapshot from another member needs the slot on disk.
func (g *Group) cancelCompaction() {
	if g.compaction != nil {
		g.compaction.canceled.Store(true)
	}
}

// awaitCompaction cancels a running compaction and waits, for the length of one write at most, until it no longer uses the disk.
func (g *Group) awaitCompaction() {
	if g.compaction == nil {
		return
	}
	g.cancelCompaction()
	<-g.compaction.written
	g.disk.AbandonCompaction(g.compaction.disk) // frees the slot, which would otherwise still count as in use
	g.compaction = nil
}

// entriesBefore returns the entries below the index. If entries has others, the result's capacity is limited so that an append to it
// doesn't overwrite them.
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

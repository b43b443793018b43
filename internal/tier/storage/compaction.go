package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Compact replaces the log by a snapshot, whose chunks are written as they come, and the entries that remain after it: all steps
// of a Compaction in one call.
func (g *Group) Compact(snapshot replica.Snapshot, chunks ChunkSource, remaining []replica.Entry, state replica.HardState) error {
	if err := g.checkCompactable(&snapshot, remaining, state); err != nil {
		return trace.Wrap(err)
	}
	compaction, err := g.BeginCompaction(snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	compaction.failure = chunks(compaction.writer.writeChunk)
	return trace.Wrap(g.FinishCompaction(compaction, remaining, state))
}

// Compaction writes a snapshot to the slot that the log doesn't follow, while Save goes on appending to the log. The group's
// goroutine begins and finishes it; Write may run on another one.
type Compaction struct {
	snapshot replica.Snapshot
	writer   *slotWriter
	failure  error // of Write
}

// BeginCompaction begins to replace the log by a snapshot. A snapshot that was being received is dropped, and none may be received
// until FinishCompaction or AbandonCompaction. Errors: a FailedError.
func (g *Group) BeginCompaction(snapshot replica.Snapshot) (*Compaction, error) {
	if g.failure != nil {
		return nil, trace.Wrap(g.failure)
	}
	writer, err := g.beginSlot()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g.compaction = &Compaction{snapshot: snapshot, writer: writer}
	return g.compaction, nil
}

// Write writes the chunks of the state as they come, and returns once they are durable. The slot counts for nothing yet. The error
// is the disk's or that of the source; FinishCompaction returns it too.
func (c *Compaction) Write(chunks ChunkSource) error {
	c.failure = chunks(c.writer.writeChunk)
	if c.failure == nil {
		c.failure = c.writer.file.Sync()
	}
	return c.failure
}

// FinishCompaction puts the slot that was written in place of the log up to its snapshot. What it has to write beside the slot's
// last frame are the entries that remain after the snapshot: those must reach as far as what is saved, and the HardState must not
// go back; otherwise the error is ErrInvalidChange, and the log stays. Any other error is a FailedError.
//
// Up to the sync of the new log the old slot and log hold everything; from then on the new ones do. A crash or a loss of power
// in between leaves the one or the other.
func (g *Group) FinishCompaction(c *Compaction, remaining []replica.Entry, state replica.HardState) error {
	g.compaction = nil
	err := g.checkCompactable(&c.snapshot, remaining, state)
	if err == nil && c.failure != nil {
		err = g.fail("write of a snapshot", c.failure)
	}
	if err != nil {
		_ = c.writer.file.Close()
		return trace.Wrap(err)
	}
	return trace.Wrap(g.switchTo(c.writer, &c.snapshot, remaining, state))
}

// AbandonCompaction leaves the log as it is. Write must have returned.
func (g *Group) AbandonCompaction(c *Compaction) {
	g.compaction = nil
	_ = c.writer.file.Close()
}

// checkCompactable returns the error for which a compaction may not take place.
func (g *Group) checkCompactable(snapshot *replica.Snapshot, remaining []replica.Entry, state replica.HardState) error {
	if g.failure != nil {
		return g.failure
	}
	return g.checkCompaction(snapshot, remaining, state)
}

// switchTo completes a slot, creates the log of its generation, and then removes the old log. The order is what makes a
// compaction safe: the new log must never be durable before its slot, nor the old one be gone before the new one is durable.
func (g *Group) switchTo(writer *slotWriter, snapshot *replica.Snapshot, entries []replica.Entry, state replica.HardState) error {
	if err := g.finishSlot(writer, snapshot, state); err != nil {
		return err
	}
	old, oldName := g.log, fileName(g.name, logSuffix(g.generation))
	if err := g.createLog(writer.layout.generation, entries); err != nil {
		return err
	}
	g.active = writer.layout
	g.hardState = state
	g.snapshotIndex = snapshot.Index
	g.lastIndex = snapshot.Index + uint64(len(entries))
	_ = old.Close()
	if err := g.disk.Remove(oldName); err != nil {
		return g.fail("removal of the old log", err)
	}
	return nil
}

// createLog creates the log of a generation with its first entries, returns once it is durable, and lets Save append there.
func (g *Group) createLog(generation uint64, entries []replica.Entry) error {
	buffer := appendEntries(beginFrame(g.buffer[:0], generation, 0), entries)
	finishFrame(buffer)
	g.recycle(buffer)
	log, err := g.disk.Create(fileName(g.name, logSuffix(generation)))
	if err != nil {
		return g.fail("creation of a log", err)
	}
	if err := g.writeFirstFrame(log, buffer); err != nil {
		_ = log.Truncate(0) // a later process must not take for durable what it reads there
		_ = log.Close()
		return err
	}
	g.log = log
	g.logBytes = int64(len(buffer))
	g.generation = generation
	g.sequence = 1
	return nil
}

// writeFirstFrame writes the first frame of a new log and returns once the frame and the file's name are durable.
func (g *Group) writeFirstFrame(log File, frame []byte) error {
	if _, err := log.Write(frame); err != nil {
		return g.fail("write to a new log", err)
	}
	if err := log.Sync(); err != nil {
		return g.fail("sync of a new log", err)
	}
	if err := g.disk.SyncDir(); err != nil {
		return g.fail("sync of the directory", err)
	}
	return nil
}

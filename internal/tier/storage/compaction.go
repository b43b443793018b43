package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Compact replaces the log by a snapshot, whose chunks come from the source, and the remaining entries after it. It does all steps
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

// Compaction writes a snapshot to the inactive slot while Save continues to append to the log. The group's goroutine begins and
// finishes the compaction; Write may run on another goroutine.
type Compaction struct {
	snapshot replica.Snapshot
	writer   *slotWriter
	failure  error // returned by Write
}

// BeginCompaction begins to replace the log by a snapshot. A snapshot that is being received is dropped, and none may be received
// until FinishCompaction or AbandonCompaction is called. An error is a FailedError.
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

// Write writes the chunks from the source to the slot, and returns once they are durable. Recovery ignores the slot until
// FinishCompaction. The error is the disk's or the source's; FinishCompaction returns it too.
func (c *Compaction) Write(chunks ChunkSource) error {
	c.failure = chunks(c.writer.writeChunk)
	if c.failure == nil {
		c.failure = c.writer.file.Sync()
	}
	return c.failure
}

// FinishCompaction writes the slot's last frame and a new log with the remaining entries, and removes the old log. The entries must
// reach at least to the last saved one, and the HardState must not go back; otherwise the error is ErrInvalidChange and the old log
// is kept. Any other error is a FailedError.
//
// Until the new log is synced, the old slot and log are complete; from then on, the new ones are. After a crash or power loss,
// recovery finds the one or the other.
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
	return trace.Wrap(g.switchToSlot(c.writer, &c.snapshot, remaining, state))
}

// AbandonCompaction ends a compaction without changing the log. Write must have returned.
func (g *Group) AbandonCompaction(c *Compaction) {
	g.compaction = nil
	_ = c.writer.file.Close()
}

// checkCompactable returns an error if the group has failed or the compaction is invalid.
func (g *Group) checkCompactable(snapshot *replica.Snapshot, remaining []replica.Entry, state replica.HardState) error {
	if g.failure != nil {
		return g.failure
	}
	return g.checkCompaction(snapshot, remaining, state)
}

// switchToSlot completes a slot, creates the log of its generation, and then removes the old log. The order makes a compaction safe:
// the new log must not be durable before its slot, and the old log must not be removed before the new one is durable.
func (g *Group) switchToSlot(writer *slotWriter, snapshot *replica.Snapshot, entries []replica.Entry, state replica.HardState) error {
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

// createLog creates the log of a generation with its first entries, and returns once it is durable. Save then appends to it.
func (g *Group) createLog(generation uint64, entries []replica.Entry) error {
	buffer := appendEntries(beginFrame(g.buffer[:0], generation, 0), entries)
	finishFrame(buffer)
	g.keepBuffer(buffer)
	log, err := g.disk.Create(fileName(g.name, logSuffix(generation)))
	if err != nil {
		return g.fail("creation of a log", err)
	}
	if err := g.writeFirstFrame(log, buffer); err != nil {
		_ = log.Truncate(0) // otherwise a later process might read the frame from the page cache and treat it as durable
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

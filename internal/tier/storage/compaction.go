package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Compact replaces the log by a snapshot, whose chunks are written as they come, and the entries that remain after it. The
// remaining entries must reach as far as what is saved, and the HardState must not go back; otherwise the error is
// ErrInvalidChange, and nothing changes. Any other error is a FailedError. A snapshot that was being received is dropped.
//
// Up to the sync of the new log the old slot and log hold everything; from then on the new ones do. A crash or a loss of power
// in between leaves the one or the other.
func (g *Group) Compact(snapshot replica.Snapshot, chunks ChunkSource, remaining []replica.Entry, state replica.HardState) error {
	if g.failure != nil {
		return trace.Wrap(g.failure)
	}
	if err := g.checkCompaction(&snapshot, remaining, state); err != nil {
		return trace.Wrap(err)
	}
	writer, err := g.beginSlot()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := chunks(writer.writeChunk); err != nil {
		_ = writer.file.Close()
		return trace.Wrap(g.fail("write of a snapshot", err))
	}
	return trace.Wrap(g.switchTo(writer, &snapshot, remaining, state))
}

// switchTo completes a slot, creates the log of its generation, and then removes the old log. The order is what makes a
// compaction safe: the new log must never be durable before its slot, nor the old one be gone before the new one is durable.
func (g *Group) switchTo(writer *slotWriter, snapshot *replica.Snapshot, entries []replica.Entry, state replica.HardState) error {
	if err := writer.finish(snapshot, state); err != nil {
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

package storage

import (
	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// Compact replaces the log by a snapshot, whose parts are written as they come, and the entries that remain after it.
// Remaining has to reach as far as what is saved, and the promise must not take back the saved one; otherwise it is refused
// and nothing changes. A snapshot that was being received is given up.
//
// Up to the sync of the new log the old slot and log hold everything; from then on the new ones do. A loss of power or a
// kill in between leaves the one or the other.
func (g *Group) Compact(snapshot replica.Snapshot, parts ChunkSource, remaining []replica.Entry, promise replica.HardState) error {
	if g.broken != nil {
		return trace.Wrap(g.broken)
	}
	if err := g.checkCompaction(&snapshot, remaining, promise); err != nil {
		return trace.Wrap(err)
	}
	writer, err := g.beginSlot()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := parts(writer.add); err != nil {
		_ = writer.file.Close()
		return trace.Wrap(g.fail("writing of a snapshot", err))
	}
	return trace.Wrap(g.adopt(writer, &snapshot, remaining, promise))
}

// adopt completes a slot and puts it and a new log in place of those before.
func (g *Group) adopt(writer *slotWriter, snapshot *replica.Snapshot, entries []replica.Entry, promise replica.HardState) error {
	if err := writer.finish(snapshot, promise); err != nil {
		return err
	}
	old, oldName := g.log, fileName(g.name, logName(g.generation))
	if err := g.beginLog(writer.layout.generation, entries); err != nil {
		return err
	}
	g.layout = writer.layout
	g.promise = promise
	g.base = snapshot.Index
	g.last = snapshot.Index + uint64(len(entries))
	_ = old.Close()
	if err := g.disk.Remove(oldName); err != nil {
		return g.fail("removal of the old log", err)
	}
	return nil
}

// install puts a snapshot that was received, and the entries behind it, in place of all that was saved before.
func (g *Group) install(effects *replica.Ready) error {
	writer := g.incoming
	g.incoming = nil
	if writer == nil || len(writer.layout.offsets) != effects.Snapshot.Chunks || effects.TruncateFrom > 0 {
		if writer != nil {
			_ = writer.file.Close()
		}
		return g.fail("check of what is to be saved", trace.BadParameter("a snapshot is installed that was not received whole"))
	}
	promise := g.promise
	if effects.HardState != nil {
		promise = *effects.HardState
	}
	return g.adopt(writer, effects.Snapshot, effects.Entries, promise)
}

// checkCompaction refuses a compaction that would lose something saved.
func (g *Group) checkCompaction(snapshot *replica.Snapshot, remaining []replica.Entry, promise replica.HardState) error {
	if err := checkPromise(g.promise, promise); err != nil {
		return trace.BadParameter("compaction: %v", err)
	}
	last, err := checkEntries(snapshot.Index, remaining)
	if err != nil {
		return trace.BadParameter("compaction: %v", err)
	}
	if snapshot.Index < g.base || last < g.last {
		return trace.BadParameter("compaction from %d to %d would lose entries from %d to %d", snapshot.Index, last, g.base, g.last)
	}
	return nil
}

// spareSlot returns the slot that the log does not follow.
func (g *Group) spareSlot() int {
	if g.generation == 0 {
		return 0
	}
	return 1 - g.layout.slot
}

// beginLog makes the log of a generation with its first entries, returns once it lasts, and saves there from then on.
func (g *Group) beginLog(generation uint64, entries []replica.Entry) error {
	buffer := appendEntries(beginFrame(g.buffer[:0], generation, 0), entries)
	finishFrame(buffer)
	g.keep(buffer)
	log, err := g.disk.Create(fileName(g.name, logName(generation)))
	if err != nil {
		return g.fail("creation of a log", err)
	}
	if err := g.writeFirst(log, buffer); err != nil {
		_ = log.Truncate(0) // a later process must not take for lasting what it reads there
		_ = log.Close()
		return err
	}
	g.log = log
	g.logBytes = int64(len(buffer))
	g.generation = generation
	g.sequence = 1
	return nil
}

// writeFirst writes the first frame of a new log and returns once frame and name last.
func (g *Group) writeFirst(log File, frame []byte) error {
	if _, err := log.Write(frame); err != nil {
		return g.fail("write to a new log", err)
	}
	if err := log.Sync(); err != nil {
		return g.fail("sync of a new log", err)
	}
	if err := g.disk.SyncDir(); err != nil {
		return g.fail("sync of the folder", err)
	}
	return nil
}

package storage

import (
	"fmt"
	"io/fs"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// maxKeptBytes bounds the buffer that a group keeps from one save to the next.
const maxKeptBytes = 1 << 20

// Group is the disk of one replica group's member. It is not safe for concurrent use. After an operation on the disk has
// failed it is broken: each later call returns the same FailedError, and nothing is tried again.
type Group struct {
	disk Disk
	name string

	log        File
	logBytes   int64
	generation uint64 // of the log
	sequence   uint64 // of the log's next frame
	newest     uint64 // generation that was ever seen or begun
	slotLasts  [2]bool
	layout     slotLayout  // of the slot that the log follows; of no meaning in generation 0
	incoming   *slotWriter // of a snapshot that is being received; nil: none

	promise replica.HardState
	base    uint64 // index that the snapshot stands for
	last    uint64 // index of the last saved entry

	buffer []byte
	broken *FailedError
}

// Save writes what one step has to save by one write and one sync. It does nothing when there is nothing to save. ReadChunks of
// a snapshot are written and not synced, as long as that isn't installed; installing it is done as a compaction.
func (g *Group) Save(effects *replica.Ready) error {
	if g.broken != nil {
		return trace.Wrap(g.broken)
	}
	base, last, err := g.follow(effects)
	if err != nil {
		return trace.Wrap(g.fail("check of what is to be saved", err))
	}
	if err := g.receive(effects.ReceivedChunks); err != nil {
		return trace.Wrap(err)
	}
	if effects.HardState == nil && effects.Snapshot == nil && effects.TruncateFrom == 0 && len(effects.Entries) == 0 {
		return nil
	}
	if effects.Snapshot != nil {
		return trace.Wrap(g.install(effects))
	}
	buffer := beginFrame(g.buffer[:0], g.generation, g.sequence)
	if buffer, err = appendEffects(buffer, effects); err != nil {
		return trace.Wrap(g.fail("encoding", err))
	}
	g.keep(buffer)
	finishFrame(buffer)
	if err := g.append(buffer); err != nil {
		return trace.Wrap(err)
	}
	if effects.HardState != nil {
		g.promise = *effects.HardState
	}
	g.base, g.last = base, last
	return nil
}

// append writes a frame at the log's end and syncs it.
func (g *Group) append(frame []byte) error {
	if _, err := g.log.Write(frame); err != nil {
		g.cutLog()
		return g.fail("write to the log", err)
	}
	if err := g.log.Sync(); err != nil {
		g.cutLog()
		return g.fail("sync of the log", err)
	}
	g.logBytes += int64(len(frame))
	g.sequence++
	return nil
}

// cutLog takes back, as far as possible, a frame whose write or sync failed. Otherwise the next process may read it from
// memory and take it for lasting, while the disk never gets it.
func (g *Group) cutLog() { _ = g.log.Truncate(g.logBytes) }

// follow checks that effects fit behind what is saved, and returns the indexes that they lead to.
func (g *Group) follow(effects *replica.Ready) (base, last uint64, err error) {
	base, last = g.base, g.last
	if effects.HardState != nil {
		if err := checkPromise(g.promise, *effects.HardState); err != nil {
			return 0, 0, err
		}
	}
	if effects.Snapshot != nil {
		base, last = effects.Snapshot.Index, effects.Snapshot.Index
	}
	if effects.TruncateFrom > 0 {
		if effects.TruncateFrom <= base {
			return 0, 0, fmt.Errorf("a cut at %d lies within the snapshot up to %d", effects.TruncateFrom, base)
		}
		last = min(last, effects.TruncateFrom-1)
	}
	last, err = checkEntries(last, effects.Entries)
	return base, last, err
}

// checkPromise refuses a promise that takes back an earlier one.
func checkPromise(saved, next replica.HardState) error {
	if next.Term < saved.Term {
		return fmt.Errorf("a promise of epoch %d would take back that of epoch %d", next.Term, saved.Term)
	}
	if next.Term == saved.Term && saved.Vote != "" && next.Vote != saved.Vote {
		return fmt.Errorf("a vote for %q in epoch %d would take back that for %q", next.Vote, next.Term, saved.Vote)
	}
	return nil
}

// checkEntries refuses entries that leave a gap behind the last index, and returns the last one.
func checkEntries(last uint64, entries []replica.Entry) (uint64, error) {
	for i := range entries {
		if entries[i].Index != last+1 {
			return 0, fmt.Errorf("entry %d does not follow entry %d", entries[i].Index, last)
		}
		last++
	}
	return last, nil
}

// keep holds a buffer for the next save, unless it is large.
func (g *Group) keep(buffer []byte) {
	if cap(buffer) > maxKeptBytes {
		buffer = nil
	}
	g.buffer = buffer
}

// fail breaks the group for good.
func (g *Group) fail(operation string, cause error) error {
	if g.broken == nil {
		g.broken = &FailedError{Operation: operation, Cause: cause}
	}
	return g.broken
}

// LogBytes returns the length of the log.
func (g *Group) LogBytes() int64 { return g.logBytes }

// Close closes the log. Later calls return a FailedError.
func (g *Group) Close() error {
	if g.broken != nil && g.broken.Cause == fs.ErrClosed {
		return nil
	}
	g.broken = &FailedError{Operation: "use", Cause: fs.ErrClosed}
	g.dropIncoming()
	return trace.Wrap(g.log.Close())
}

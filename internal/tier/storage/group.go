package storage

import (
	"io/fs"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// maxBufferBytes bounds the buffer that a group keeps from one save to the next.
const maxBufferBytes = 1 << 20

// Group is the durable state of one member of a replica group. It is not safe for concurrent use: the group's goroutine owns it.
// After any failed operation each later call returns the same FailedError, and no further operation reaches the disk.
type Group struct {
	disk Disk
	name string

	// The log segment that Save appends to.
	log        File
	logBytes   int64
	generation uint64
	sequence   uint64 // of the next frame

	// The slots.
	maxGeneration uint64      // ever found or begun; a new slot gets the next one, so that none is ever reused
	slotNamed     [2]bool     // the slot's file name is durable
	active        slotLayout  // of the slot that the log follows; without meaning in generation 0
	incoming      *slotWriter // of a snapshot that is being received; nil: none
	compaction    *Compaction // that writes the inactive slot; nil: none

	// What is saved, against which changes are checked.
	hardState     replica.HardState
	snapshotIndex uint64
	lastIndex     uint64

	buffer  []byte       // for reuse
	failure *FailedError // nil: none
	closed  bool
}

// Save makes what one step has to save durable, by one write and one sync; it does nothing when there is nothing to save.
// Received chunks of a snapshot are written without a sync, since nothing depends on them before the snapshot is installed;
// installing it costs what a compaction does.
//
// Errors: a FailedError, whose cause is the disk's error, ErrInvalidChange or ErrChunkOrder.
func (g *Group) Save(ready *replica.Ready) error {
	if g.failure != nil {
		return trace.Wrap(g.failure)
	}
	snapshotIndex, lastIndex, err := g.checkReady(ready)
	if err != nil {
		return trace.Wrap(g.fail("check of what is to be saved", err))
	}
	if err = g.receive(ready.ReceivedChunks); err != nil {
		return trace.Wrap(err)
	}
	if ready.HardState == nil && ready.Snapshot == nil && ready.TruncateFrom == 0 && len(ready.Entries) == 0 {
		return nil
	}
	if ready.Snapshot != nil {
		return trace.Wrap(g.install(ready))
	}
	buffer := beginFrame(g.buffer[:0], g.generation, g.sequence)
	if buffer, err = appendReady(buffer, ready); err != nil {
		return trace.Wrap(g.fail("encoding", err))
	}
	g.recycle(buffer)
	finishFrame(buffer)
	if err := g.appendFrame(buffer); err != nil {
		return trace.Wrap(err)
	}
	if ready.HardState != nil {
		g.hardState = *ready.HardState
	}
	g.snapshotIndex, g.lastIndex = snapshotIndex, lastIndex
	return nil
}

// appendFrame writes a frame at the log's end and syncs it.
func (g *Group) appendFrame(frame []byte) error {
	if _, err := g.log.Write(frame); err != nil {
		g.truncateUnsynced()
		return g.fail("write to the log", err)
	}
	if err := g.log.Sync(); err != nil {
		g.truncateUnsynced()
		return g.fail("sync of the log", err)
	}
	g.logBytes += int64(len(frame))
	g.sequence++
	return nil
}

// truncateUnsynced takes back, as far as possible, a frame whose write or sync failed. Otherwise the next process might read it
// from the page cache and take it for durable, while it never reaches the disk.
func (g *Group) truncateUnsynced() { _ = g.log.Truncate(g.logBytes) }

// recycle keeps a buffer for the next save, unless it is large.
func (g *Group) recycle(buffer []byte) { g.buffer = reusable(buffer) }

// reusable returns the buffer, or nil if it is too large to be kept.
func reusable(buffer []byte) []byte {
	if cap(buffer) > maxBufferBytes {
		return nil
	}
	return buffer
}

// fail puts the group out of use for good. Only the first failure counts.
func (g *Group) fail(operation string, cause error) error {
	if g.failure == nil {
		g.failure = &FailedError{Operation: operation, Cause: cause}
	}
	return g.failure
}

// LogBytes returns the length of the log.
func (g *Group) LogBytes() int64 { return g.logBytes }

// Close closes the log without a sync; everything that was acknowledged is durable already. Later calls return a FailedError,
// apart from Close.
func (g *Group) Close() error {
	if g.closed {
		return nil
	}
	g.closed = true
	g.failure = &FailedError{Operation: "use", Cause: fs.ErrClosed}
	g.dropIncoming()
	if g.compaction != nil {
		g.AbandonCompaction(g.compaction)
	}
	return trace.Wrap(g.log.Close())
}

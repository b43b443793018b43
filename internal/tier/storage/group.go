package storage

import (
	"io/fs"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
)

// maxBufferBytes bounds the capacity of a buffer that is kept for reuse.
const maxBufferBytes = 1 << 20

// Group is the durable state of one member of a replica group. It is not safe for concurrent use: the member's goroutine owns it.
// After a failed operation, every later change is refused with the same FailedError.
type Group struct {
	disk Disk
	name string

	// The log segment that Save appends to.
	log        File
	logBytes   int64
	generation uint64
	sequence   uint64 // of the next frame

	// The slots.
	maxGeneration   uint64      // highest generation found or begun; a new slot gets the next one, so that none is reused
	slotNameDurable [2]bool     // whether each slot's file name is durable
	active          slotLayout  // of the active slot; unused in generation 0
	incoming        *slotWriter // of a snapshot that is being received; nil if none
	compaction      *Compaction // running compaction, which writes the inactive slot; nil if none

	// Saved state, against which changes are checked.
	hardState     replica.HardState
	snapshotIndex uint64
	lastIndex     uint64

	buffer  []byte       // reused by saves
	failure *FailedError // nil if no operation has failed
	closed  bool
}

// Save makes a Ready durable by one write and one sync, or does nothing if the Ready has nothing to save. Received snapshot chunks
// are written without a sync, since nothing depends on them before the snapshot is installed. Installing a snapshot takes the same
// writes and syncs as a compaction.
//
// An error is a FailedError, whose cause is the disk's error, ErrInvalidChange, ErrChunkOrder or ErrSlotInUse.
func (g *Group) Save(ready *replica.Ready) error {
	if g.failure != nil {
		return trace.Wrap(g.failure)
	}
	snapshotIndex, lastIndex, err := g.checkReady(ready)
	if err != nil {
		return trace.Wrap(g.fail("check before a save", err))
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
	g.keepBuffer(buffer)
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

// truncateUnsynced tries to remove a frame whose write or sync failed. Otherwise the next process might read the frame from the
// page cache and treat it as durable, although it never reaches the disk.
func (g *Group) truncateUnsynced() { _ = g.log.Truncate(g.logBytes) }

// keepBuffer keeps a buffer for the next save, unless it is too large.
func (g *Group) keepBuffer(buffer []byte) { g.buffer = reusable(buffer) }

// reusable returns the buffer, or nil if it exceeds maxBufferBytes.
func reusable(buffer []byte) []byte {
	if cap(buffer) > maxBufferBytes {
		return nil
	}
	return buffer
}

// fail returns a FailedError with the first failure, which all later changes return too.
func (g *Group) fail(operation string, cause error) error {
	if g.failure == nil {
		g.failure = &FailedError{Operation: operation, Cause: cause}
	}
	return g.failure
}

// LogBytes returns the length of the log.
func (g *Group) LogBytes() int64 { return g.logBytes }

// Close closes the log without a sync, since everything acknowledged is durable already. Later changes return a FailedError;
// another Close returns nil.
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

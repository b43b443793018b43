// Package storage stores the durable state of one member of a replica group: its HardState (term and vote), its log entries and its
// latest snapshot. Package group calls it from the member's goroutine after each step of package replica. A step's MessagesAfterSync
// must not be sent before Save has returned.
//
// # Files
//
// A group has two snapshot slots, which are written alternately, and one log. The slot that the log follows is the active one, the
// other is inactive. All files are directly in the disk's directory and are prefixed with the group's name, since the platform
// doesn't guarantee that it keeps subdirectories:
//
//	<group>.slot-a, <group>.slot-b   a complete snapshot in chunks, and the HardState at that time
//	<group>.log-<generation>         everything saved after the slot of the same generation; generation 0 has no slot
//	identity                         the machine's identity, as hexadecimal digits
//
// Slots and logs are sequences of frames. A frame is a header with the generation, a sequence number, the payload's length and a
// CRC-32C, followed by the payload. In a log, the payload is a sequence of records: each is a line of JSON, followed by the data if
// the record is an entry. In a slot, the payload is one chunk of the state, except that the last frame holds the records of the
// HardState and of the snapshot's metadata. Each Save is one frame, one write and one sync, so that it is atomic.
//
// # Compaction
//
// A compaction writes the inactive slot, syncs it, creates the log of the next generation with the remaining entries, syncs that log
// and the directory, and only then removes the old log. Until the new log's first frame is durable, the old slot and log are
// complete. A snapshot received from another member is written to the inactive slot chunk by chunk, without a sync, and then
// installed with the same steps.
//
// # Recovery
//
// Open selects the newest log whose first frame is intact, and replays the slot of its generation and the log. A damaged frame at
// the end of the log is a torn write that was never synced, and so never acknowledged: it is truncated. An intact frame after a
// damaged one proves that the damaged frame had been synced. In this case, or if anything else is damaged or missing, the error is
// ErrCorrupt. Such a disk must be treated as lost, never as empty, because its member could otherwise vote twice in one term.
//
// After a failed write or sync, a Group accepts no more changes (ErrFailed), since the content of the disk is no longer known. A
// failed sync is never repeated, because the kernel may have dropped the dirty pages and would report success.
//
// # Sources
//
// Raft (Ongaro, Ousterhout 2014): figure 2 and section 5 for what must be durable before a message is sent, section 7 for snapshots.
package storage

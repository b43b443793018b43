// Package storage is the durable state of one member of a replica group: its HardState (term and vote), its log entries and its
// newest snapshot. Package group calls it from the group's one goroutine, after each step of package replica; a step's
// MessagesAfterSync must not be sent before Save has returned.
//
// # Files
//
// A group has two slots, written in turn, and one log segment. All files lie directly in the disk's directory and bear the
// group's name, since the platform offers files but doesn't promise that it keeps subdirectories:
//
//	<group>.slot-a, <group>.slot-b   a complete snapshot in chunks, and the HardState at that time
//	<group>.log-<generation>         what was saved since the slot of that generation; generation 0 has no slot
//	identity                         the machine's identity, as hexadecimal digits
//
// Slots and logs are sequences of frames: a header with the generation, a sequence number, the payload's length and a CRC-32C,
// then the payload. The payload of a log's frame is a sequence of records: a line of JSON each, an entry's data behind its line.
// The payload of a slot's frame is one chunk of the state; the last frame holds the records of the HardState and of the
// snapshot's metadata. One Save is one frame, one write and one sync, so that it is there as a whole or not at all.
//
// # Compaction
//
// A compaction writes the inactive slot, syncs it, creates the log of the next generation with the entries that remain, syncs
// that and the directory, and only then removes the old log. Until the new log's first frame is durable, the old slot and log
// hold everything. A snapshot that another member sends is written to the inactive slot chunk by chunk, without a sync, and
// installed as a compaction is.
//
// # Recovery
//
// Open takes the newest log whose first frame is intact, with the slot of its generation, and replays both. An incomplete frame
// at the log's end is a torn write, one that was never synced and so never acknowledged: it is truncated. An intact frame
// behind an incomplete one proves that the incomplete one had been synced. That, and anything else that is damaged or missing,
// is ErrCorrupt: such a disk must be treated as lost, never as empty, or its member would vote twice in one term.
//
// After a failed write or sync a Group accepts nothing more (ErrFailed), since what the disk holds is no longer known; a failed
// sync is never repeated, because the kernel may have dropped the dirty pages and would report success.
//
// # Sources
//
// What must be durable before a message is sent: Raft (Ongaro, Ousterhout 2014), figure 2 and section 5. Snapshots: section 7.
package storage

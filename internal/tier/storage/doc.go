// Package storage keeps what a member of a replica group must not forget on its machine's disk.
//
// A group has two slots, written in turn, and a short log. A slot is a whole snapshot together with the promise of its time.
// The log of a generation follows the slot of the same generation; generation 0 has no slot. Slots and logs are made of
// frames: a length, a checksum and a payload of records. One Save is one frame, so that it is there as a whole or not at all.
//
// A compaction writes the slot that is not in use, syncs it, begins the next generation's log with the entries that remain,
// syncs that too, and only then removes the old log. Recovery takes the newest log whose first frame is whole, and its slot.
//
// A torn end of the log is what a loss of power leaves of a write that was never synced: it is cut off. Anything else that
// is damaged or missing is a CorruptError: such a disk is to be treated as lost, never as empty.
//
// All files lie directly in the disk's folder, and a group's files bear its name: the platform offers files, but does not say
// that it keeps folders within folders.
package storage

package storage

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrCorrupt matches each CorruptError.
	ErrCorrupt = errors.New("storage is corrupt")
	// ErrFailed matches each FailedError.
	ErrFailed = errors.New("storage has failed")
	// ErrInvalidChange refuses a change that would lose or contradict what is saved: a gap between entries, a truncation below
	// the snapshot, a lower term, a second vote in one term. Save treats it as a failure of the group; Compact changes nothing.
	ErrInvalidChange = errors.New("invalid change")
	// ErrChunkOrder refuses a snapshot chunk that isn't the one after the last, and the installation of an incomplete snapshot.
	ErrChunkOrder = errors.New("snapshot chunk out of order")
	// ErrSlotInUse refuses a snapshot that is received, or compacted, while a compaction writes the slot that it would need.
	ErrSlotInUse = errors.New("slot is being written by a compaction")
	// ErrNoChunks refuses a snapshot without any state.
	ErrNoChunks = errors.New("snapshot has no chunks")
)

// errBadRecord says why a frame with the right checksum can't be replayed. Callers see it as the reason of a CorruptError.
var errBadRecord = errors.New("bad record")

// CorruptError says that something that had been synced is damaged or missing. The disk counts as lost: what its member
// promised is no longer known, so it must not take part under its former identity. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64 // of the first byte known to be affected; 0 where the whole file is
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is makes errors.Is(err, ErrCorrupt) hold.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// FailedError says that a group accepts no more changes in this process: an earlier operation failed, and how much of it is
// durable is not known. Each later call returns the same error. It matches ErrFailed, and its cause.
type FailedError struct {
	Operation string // that failed first
	Cause     error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("%v: %s: %v", ErrFailed, e.Operation, e.Cause)
}

// Is makes errors.Is(err, ErrFailed) hold.
func (e *FailedError) Is(target error) bool { return target == ErrFailed }

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// IsDiskFull reports whether an error comes from a disk or a quota without space.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

package storage

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrCorrupt matches any CorruptError.
	ErrCorrupt = errors.New("storage is corrupt")
	// ErrFailed matches any FailedError.
	ErrFailed = errors.New("storage has failed")
	// ErrInvalidChange means that a change would lose or contradict saved data: a gap between entries, a truncation within the
	// snapshot, a lower term, or a second vote in one term. Save then fails the group; Compact leaves it unchanged and usable.
	ErrInvalidChange = errors.New("invalid change")
	// ErrChunkOrder means that a received snapshot chunk isn't the next one, or that an incomplete snapshot is to be installed.
	ErrChunkOrder = errors.New("snapshot chunk out of order")
	// ErrSlotInUse means that a received snapshot or another compaction needs the slot that a running compaction is writing.
	ErrSlotInUse = errors.New("slot is being written by a compaction")
	// ErrNoChunks means that a snapshot has no state.
	ErrNoChunks = errors.New("snapshot has no chunks")
)

// errBadRecord means that a frame with a valid checksum can't be replayed. It becomes the reason of a CorruptError.
var errBadRecord = errors.New("bad record")

// CorruptError means that synced data is damaged or missing. The disk must be considered lost: the member's votes and
// acknowledgments are no longer known, so it must not rejoin under the same identity. It matches ErrCorrupt.
type CorruptError struct {
	File   string
	Offset int64 // of the first byte known to be affected; 0 if the whole file is affected or missing
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%v: %s at byte %d: %s", ErrCorrupt, e.File, e.Offset, e.Reason)
}

// Is makes errors.Is(err, ErrCorrupt) hold.
func (e *CorruptError) Is(target error) bool { return target == ErrCorrupt }

// FailedError means that a Group accepts no more changes: an operation failed, and how much of it is durable is unknown. Each later
// change returns the same error. It matches ErrFailed and its cause.
type FailedError struct {
	Operation string // the operation that failed first
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

// IsDiskFull reports whether an error was caused by a full disk or an exceeded quota.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

package storage

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptError says that something on the disk that had been synced is damaged or missing. The disk counts as lost.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("disk is damaged: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}

// FailedError says that a group can no longer save anything in this process: an earlier operation on its disk failed, and
// what of it lasts is not known. Each later call returns the same error.
type FailedError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("storage is broken since %s failed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// IsDiskFull tells whether an error comes from a disk without space.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

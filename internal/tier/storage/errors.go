package storage

import (
	"errors"
	"fmt"
	"syscall"
)

// DamageError says that something on the disk that had been synced is damaged or missing. The disk counts as lost.
type DamageError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("disk is damaged: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}

// BrokenError says that a group can no longer save anything in this process: an earlier operation on its disk failed, and
// what of it lasts is not known. Each later call returns the same error.
type BrokenError struct {
	Operation string
	Cause     error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("storage is broken since %s failed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// IsFull tells whether an error comes from a disk without space.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

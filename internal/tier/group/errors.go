package group

import (
	"errors"
	"fmt"

	"mastusher/internal/tier/storage"
)

// errQueueFull is the cause for which a command is dropped when the member has had no iteration for too long.
var errQueueFull = errors.New("the member's queue is full")

// ErrStateRejected says that the disk holds a snapshot or a log that is whole and that the state machine or the replica rejects: one of
// another build, or the result of a fault in this one. Neither a retry nor another disk operation mends it.
var ErrStateRejected = errors.New("state on the disk rejected")

// IsFatal reports whether an error of a member can't be mended by opening it again: the disk is damaged, or what it holds is rejected.
func IsFatal(err error) bool {
	return errors.Is(err, storage.ErrCorrupt) || errors.Is(err, ErrStateRejected)
}

// NotLeaderError says that this member could not complete a call.
type NotLeaderError struct {
	Group   string
	Leader  string // address of the leader; empty: not known
	Dropped bool   // the command was certainly not proposed; else it may yet be committed
	Cause   error  // why, where this member is out of service or the caller gave up; else nil
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	text := fmt.Sprintf("group %s: this member is not the leader", e.Group)
	if e.Leader != "" {
		text += ", which is " + e.Leader
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *NotLeaderError) Unwrap() error { return e.Cause }

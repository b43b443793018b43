package group

import (
	"errors"
	"fmt"

	"mastusher/internal/tier/storage"
)

// errQueueFull is the cause when a command is dropped because earlier input is still waiting for an iteration.
var errQueueFull = errors.New("the member's input queue is full")

// ErrStateRejected means that a snapshot or log is intact but rejected by the state machine or the replica: it comes from an
// incompatible build, or from a bug in this one. Retrying doesn't help.
var ErrStateRejected = errors.New("state on disk rejected")

// IsFatal reports whether reopening the member can't resolve an error: the disk is corrupt, or the state on it is rejected.
func IsFatal(err error) bool {
	return errors.Is(err, storage.ErrCorrupt) || errors.Is(err, ErrStateRejected)
}

// NotLeaderError means that this member could not complete a call.
type NotLeaderError struct {
	Group   string
	Leader  string // address of the leader; empty if unknown
	Dropped bool   // whether the command was definitely not proposed; otherwise it may still be committed
	Cause   error  // set if the member is out of service, its queue is full or the caller's context ended
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

package group

import (
	"errors"
	"fmt"
)

// errQueueFull is the cause for which a command is dropped when the member has had no iteration for too long.
var errQueueFull = errors.New("the member's queue is full")

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

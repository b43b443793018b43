package consensus

import (
	"errors"
	"fmt"
)

// Errors of Receive: the message is ignored.
var (
	// ErrOtherMember is returned for a message to another member.
	ErrOtherMember = errors.New("consensus: a message for another member")
	// ErrLocalMessage is returned for a kind of message that a member only gives to itself.
	ErrLocalMessage = errors.New("consensus: a message that members don't send each other")
)

// EntryGapError is returned by New for an image that lacks the entry before Index.
type EntryGapError struct{ Index uint64 }

// Error names the entry after the gap.
func (e EntryGapError) Error() string {
	return fmt.Sprintf("consensus: entry %d stands where another should", e.Index)
}

// TruncatedLogError is returned by New for an image that lacks committed entries.
type TruncatedLogError struct {
	Committed uint64 // index of the last committed entry
	LastIndex uint64 // index of the last entry that is there
}

// Error names both indices.
func (e TruncatedLogError) Error() string {
	return fmt.Sprintf("consensus: entries up to %d were agreed on, and the log ends at %d", e.Committed, e.LastIndex)
}

// PanicError is a panic of raft's, which meets with something that no intact log holds. The Engine is of no use any more: each later Ready
// returns it.
type PanicError struct{ Value any }

// Error is the value that raft panicked with.
func (e *PanicError) Error() string { return fmt.Sprintf("consensus: %v", e.Value) }

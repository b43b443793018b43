package consensus

import (
	"errors"
	"fmt"
)

// Errors of Receive for messages that it ignores.
var (
	// ErrOtherMember is returned for a message to another member.
	ErrOtherMember = errors.New("consensus: message is addressed to another member")
	// ErrLocalMessage is returned for a message type that raft only uses within a member.
	ErrLocalMessage = errors.New("consensus: message type is only valid within a member")
)

// EntryGapError is returned by New for an image in which the entry before Index is missing.
type EntryGapError struct{ Index uint64 }

// Error names the entry after the gap.
func (e EntryGapError) Error() string {
	return fmt.Sprintf("consensus: entry %d does not follow the entry before it", e.Index)
}

// TruncatedLogError is returned by New for an image that lacks committed entries.
type TruncatedLogError struct {
	Committed uint64 // index of the last committed entry
	LastIndex uint64 // index of the last entry in the image
}

// Error names both indices.
func (e TruncatedLogError) Error() string {
	return fmt.Sprintf("consensus: entries up to %d are committed, but the log ends at entry %d", e.Committed, e.LastIndex)
}

// PanicError is a panic of raft, which found a state that no intact log can have. The Engine is unusable afterwards: each later Ready
// returns the same error.
type PanicError struct{ Value any }

// Error returns the value with which raft panicked.
func (e *PanicError) Error() string { return fmt.Sprintf("consensus: %v", e.Value) }

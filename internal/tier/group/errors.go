package group

import (
	"errors"
	"fmt"
)

// errTooMuchWaits refuses a command since the member hasn't had its turn for too long.
var errTooMuchWaits = errors.New("too much waits for the member's turn")

// NotLeaderError says that this member could not see a call through.
type NotLeaderError struct {
	Group   string
	Leader  string // address of the owner, as far as it is known
	Dropped bool   // the command was certainly not proposed
	Cause   error
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	text := fmt.Sprintf("group %s: not its owner", e.Group)
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

package group

import (
	"errors"
	"fmt"
)

// errTooMuchWaits refuses a command since the member hasn't had its turn for too long.
var errTooMuchWaits = errors.New("too much waits for the member's turn")

// OwnershipError says that this member could not see a call through.
type OwnershipError struct {
	Group string
	Owner string // address of the owner, as far as it is known
	Never bool   // the command was certainly not proposed
	Cause error
}

// Error implements error.
func (e *OwnershipError) Error() string {
	text := fmt.Sprintf("group %s: not its owner", e.Group)
	if e.Owner != "" {
		text += ", which is " + e.Owner
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *OwnershipError) Unwrap() error { return e.Cause }

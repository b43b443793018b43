package platformlist

import (
	"errors"
	"fmt"
	"time"
)

// StatusError is a response of the platform other than 200.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // 0 if none was given
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("list of endpoints: the platform answered %d", e.Status)
}

// UnreachableError says that a call to the platform brought no response in time.
type UnreachableError struct {
	Cause error
}

// Error names the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("list of endpoints: the platform isn't reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Errors of responses that are no page, and of options.
var (
	ErrPageTooLarge  = errors.New("list of endpoints: page over the size limit")
	ErrMalformedPage = errors.New("list of endpoints: malformed page")
	ErrEndlessList   = errors.New("list of endpoints: no last page")
	ErrNoRate        = errors.New("list of endpoints: rate must be above 0 calls a second")
)

package platformlist

import (
	"errors"
	"fmt"
	"time"
)

// StatusError is a response of the platform other than 200.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // of the response; 0 if it has none
}

// Error returns a text with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("list of endpoints: platform responded with status %d, want 200", e.Status)
}

// UnreachableError means that a call to the platform got no response in time.
type UnreachableError struct {
	Cause error
}

// Error returns a text with the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("list of endpoints: call to the platform got no response: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Errors of invalid responses and options.
var (
	ErrPageTooLarge  = errors.New("list of endpoints: page exceeds the size limit")
	ErrListTooLarge  = errors.New("list of endpoints: list exceeds the size limit")
	ErrMalformedPage = errors.New("list of endpoints: malformed page")
	ErrEndlessList   = errors.New("list of endpoints: pages have no end")
	ErrNoRate        = errors.New("list of endpoints: rate must be above 0 calls per second")
)

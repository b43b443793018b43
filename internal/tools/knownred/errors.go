package main

import (
	"errors"
	"fmt"
)

// Causes of a lineError.
var (
	errTooFewFields = errors.New("fewer fields than TestName package cause issue")
	errNotATest     = errors.New("not a test function")
	errDuplicate    = errors.New("the test is listed twice")
)

// lineError is returned for a line of the list that can't be read. Its cause is errTooFewFields, errNotATest or errDuplicate.
type lineError struct {
	Number int // from 1
	Text   string
	Cause  error
}

func (e *lineError) Error() string {
	return fmt.Sprintf("line %d: %v: %q", e.Number, e.Cause, e.Text)
}

func (e *lineError) Unwrap() error { return e.Cause }

// eventError is returned for a line of the input that isn't an event.
type eventError struct {
	Line  string
	Cause error
}

func (e *eventError) Error() string {
	return fmt.Sprintf("%q is not an event of go test -json: %v", e.Line, e.Cause)
}

func (e *eventError) Unwrap() error { return e.Cause }

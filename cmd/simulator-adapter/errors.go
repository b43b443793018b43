package main

import (
	"errors"
	"fmt"
)

// errNoContext is returned for a record without a Context record before it in its batch.
var errNoContext = errors.New("no Context record precedes it in the batch")

// recordError is returned for an invalid record of a batch.
type recordError struct {
	index int   // in the batch, from 0
	code  uint8 // its event code
	err   error // why it is invalid
}

// Error names the record and the reason.
func (e *recordError) Error() string {
	return fmt.Sprintf("record %d (code %d): %v", e.index, e.code, e.err)
}

// Unwrap returns why the record is invalid, for errors.Is and errors.As.
func (e *recordError) Unwrap() error { return e.err }

// unknownListError is returned for an endpoint list that no record has defined.
type unknownListError struct{ list uint8 }

// Error names the field and the list's number.
func (e *unknownListError) Error() string {
	return fmt.Sprintf("field roster_id at offset 1: list %d has not been received", e.list)
}

package main

import (
	"errors"
	"fmt"
)

// errNoContext is returned for a record that comes before any Context record of its batch.
var errNoContext = errors.New("no Context names its instance")

// recordError names the record of a batch that is at fault.
type recordError struct {
	index int   // in the batch, from 0
	code  uint8 // its event code
	err   error
}

// Error returns the record and the fault.
func (e *recordError) Error() string {
	return fmt.Sprintf("record %d (code %d): %v", e.index, e.code, e.err)
}

// Unwrap returns the fault.
func (e *recordError) Unwrap() error { return e.err }

// unknownListError is returned for an endpoint list that no record has brought.
type unknownListError struct{ list uint8 }

// Error returns the field and the list's number.
func (e *unknownListError) Error() string {
	return fmt.Sprintf("field roster_id at offset 1: no list %d", e.list)
}

package trial

import (
	"errors"
	"fmt"
)

// Causes of a LineError.
var (
	errNoCase     = errors.New("want a case")
	errNoKeyword  = errors.New(`want "case", "want" or an indented line`)
	errHeaderForm = errors.New("want NAME: VALUE")
)

// LineError is returned for an invalid line in a file of cases.
type LineError struct {
	Line int   // from 1
	Err  error // *KeyError or *UnknownKeyError if the line sets a key
}

// Error names the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// KeyError is returned for an invalid value of a key of a case.
type KeyError struct {
	Key string
	Err error
}

// Error names the key and the cause.
func (e *KeyError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// UnknownKeyError is returned for a key that cases don't have.
type UnknownKeyError struct{ Key string }

// Error names the key.
func (e *UnknownKeyError) Error() string { return fmt.Sprintf("unknown key %q", e.Key) }

// PhaseError is returned for the name of an unknown phase.
type PhaseError struct{ Name string }

// Error names the unknown phase and the existing ones.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("%q is none of arrival, answer, end", e.Name)
}

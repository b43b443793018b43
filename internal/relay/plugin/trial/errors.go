package trial

import (
	"errors"
	"fmt"
)

// Why a line of a file of cases can't be read, as the Err of a LineError.
var (
	errNoCase     = errors.New("want a case")
	errNoKeyword  = errors.New("want case or want, or an indented line")
	errHeaderForm = errors.New("want NAME: VALUE")
)

// LineError says which line of a file of cases can't be read.
type LineError struct {
	Line int   // from 1
	Err  error // *KeyError where it is a key of a case
}

// Error names the line and the cause.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// KeyError says which key of a case has a value that it can't have.
type KeyError struct {
	Key string
	Err error
}

// Error names the key and the cause.
func (e *KeyError) Error() string { return fmt.Sprintf("%s: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// UnknownKeyError says that cases have no such key.
type UnknownKeyError struct{ Key string }

// Error names the key.
func (e *UnknownKeyError) Error() string { return fmt.Sprintf("there is no key %q", e.Key) }

// PhaseError says that there is no such phase.
type PhaseError struct{ Name string }

// Error names the phases that there are.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("%q is none of arrival, answer, end", e.Name)
}

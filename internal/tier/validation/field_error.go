// Package validation defines the errors of an invalid document: one FieldError for each fault, joined by package multierr, so that an
// operator sees all faults at once. Packages settings and model return them, and the check commands print them.
package validation

import (
	"errors"
	"fmt"
)

// FieldError is a fault of a document.
type FieldError struct {
	Field  string // path of the field, such as routes[3].giveUpMs or limits.memoryMb; empty: the whole document
	Reason string // completes a sentence about the field, such as "is missing"
}

// Error returns the field and the reason.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// FieldErrors returns the FieldErrors in an error, one or several joined by multierr, in their order. It omits errors of other
// types.
func FieldErrors(err error) []*FieldError {
	var joined interface{ Errors() []error }
	if !errors.As(err, &joined) {
		return oneFieldError(err)
	}
	var found []*FieldError
	for _, one := range joined.Errors() {
		found = append(found, oneFieldError(one)...)
	}
	return found
}

func oneFieldError(err error) []*FieldError {
	var found *FieldError
	if !errors.As(err, &found) {
		return nil
	}
	return []*FieldError{found}
}

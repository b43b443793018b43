// Package validation holds the errors of a document that was read and found invalid: one FieldError for each thing that is wrong,
// joined by package multierr, so that an operator sees all of them at once. Packages settings and model produce them; the
// commands print them.
package validation

import (
	"errors"
	"fmt"
)

// FieldError is one thing that is wrong with a document.
type FieldError struct {
	Field  string // path of the field, such as routes[3].giveUpMs or limits.memoryMb; empty: the document as a whole
	Reason string // that completes a sentence about the field, such as "is missing"
}

// Error names the field and what is wrong with it.
func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Reason
	}
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}

// FieldErrors lists the FieldErrors that an error holds, a single one or several joined by multierr, in the order of the checks.
// It leaves out errors of other types.
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

// Package validation lists what is wrong with a document that was read, each fault with its place.
package validation

import (
	"errors"
	"fmt"
)

// FieldError is one thing that is wrong with a document.
type FieldError struct {
	Field  string // such as routes[3].giveUpMs or limits.memoryMb; empty: the document as a whole
	Reason string
}

// Error names the place and what is wrong there.
func (f *FieldError) Error() string {
	if f.Field == "" {
		return f.Reason
	}
	return fmt.Sprintf("%s: %s", f.Field, f.Reason)
}

// FieldErrors lists the faults that an error holds, a single one or a group of multierr, in the order of the checks. Errors of other
// types are left out.
func FieldErrors(err error) []*FieldError {
	var group interface{ Errors() []error }
	if !errors.As(err, &group) {
		return single(err)
	}
	var faults []*FieldError
	for _, part := range group.Errors() {
		faults = append(faults, single(part)...)
	}
	return faults
}

func single(err error) []*FieldError {
	var fault *FieldError
	if !errors.As(err, &fault) {
		return nil
	}
	return []*FieldError{fault}
}

// Package validation lists what is wrong with a document that was read, each fault with its place.
package validation

import (
	"errors"
	"fmt"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	Place  string // such as routes[3].giveUpMs or limits.memoryMb; empty: the document as a whole
	Reason string
}

// Error names the place and what is wrong there.
func (f *Fault) Error() string {
	if f.Place == "" {
		return f.Reason
	}
	return fmt.Sprintf("%s: %s", f.Place, f.Reason)
}

// Faults lists the faults that an error holds, a single one or a group of multierr, in the order of the checks. Errors of other
// types are left out.
func Faults(err error) []*Fault {
	var group interface{ Errors() []error }
	if !errors.As(err, &group) {
		return single(err)
	}
	var faults []*Fault
	for _, part := range group.Errors() {
		faults = append(faults, single(part)...)
	}
	return faults
}

func single(err error) []*Fault {
	var fault *Fault
	if !errors.As(err, &fault) {
		return nil
	}
	return []*Fault{fault}
}

package apierror

import (
	"errors"
	"fmt"
)

// Error is an error of one kind, with what happened in words.
type Error struct {
	kind    Kind
	message string
	cause   error
}

// New makes an error of a kind. The verb %w wraps a cause, as with fmt.Errorf.
func New(kind Kind, format string, args ...any) error {
	formatted := fmt.Errorf(format, args...)
	return &Error{kind: kind, message: formatted.Error(), cause: causeOf(formatted)}
}

// causeOf is what a formatted error wraps: one error, several joined, or nil.
func causeOf(formatted error) error {
	if several, ok := formatted.(interface{ Unwrap() []error }); ok {
		return errors.Join(several.Unwrap()...)
	}
	return errors.Unwrap(formatted)
}

// Error says what happened.
func (e *Error) Error() string {
	return e.kind.String() + ": " + e.message
}

// Kind is the kind of the error.
func (e *Error) Kind() Kind {
	return e.kind
}

// Unwrap gives the cause, if there is one.
func (e *Error) Unwrap() error {
	return e.cause
}

// Is tells whether the target is the kind of the error, so that errors.Is(err, apierror.NoRoute) holds.
func (e *Error) Is(target error) bool {
	kind, ok := target.(Kind)
	return ok && kind == e.kind
}

// KindOf is the kind of an error: that of the outermost error that has one. Where several errors are joined, one that may
// have run goes before those that promise the contrary. An error without a kind is Internal; nil is None.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	if kind := find(err); kind != None {
		return kind
	}
	return Internal
}

func find(err error) Kind {
	switch err := err.(type) {
	case Kind:
		return err
	case *Error:
		return err.kind
	case interface{ Unwrap() error }:
		return find(err.Unwrap())
	case interface{ Unwrap() []error }:
		return gravest(err.Unwrap())
	}
	return None
}

// gravest is the first kind that may have run, else the first kind.
func gravest(joined []error) Kind {
	first := None
	for _, err := range joined {
		kind := find(err)
		if kind == None {
			continue
		}
		if !kind.Response().NotExecuted {
			return kind
		}
		if first == None {
			first = kind
		}
	}
	return first
}

package apierror

import (
	"errors"
	"fmt"
)

// Error is an error with a kind, a message and possibly a cause.
type Error struct {
	kind    Kind
	message string
	cause   error
}

// New returns an *Error. As with fmt.Errorf, the verb %w wraps a cause.
func New(kind Kind, format string, args ...any) error {
	formatted := fmt.Errorf(format, args...)
	return &Error{kind: kind, message: formatted.Error(), cause: causeOf(formatted)}
}

// causeOf returns the cause that a formatted error wraps: one error, several joined errors, or nil.
func causeOf(formatted error) error {
	if several, ok := formatted.(interface{ Unwrap() []error }); ok {
		return errors.Join(several.Unwrap()...)
	}
	return errors.Unwrap(formatted)
}

// Error implements error.
func (e *Error) Error() string {
	return e.kind.String() + ": " + e.message
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind {
	return e.kind
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// Is reports whether target is the error's kind, so that errors.Is(err, apierror.NoRoute) works.
func (e *Error) Is(target error) bool {
	kind, ok := target.(Kind)
	return ok && kind == e.kind
}

// KindOf returns the kind of an error: the outermost one in its chain. Among joined errors, the first kind that doesn't rule out execution
// is used. An error without a kind is Internal; nil is None.
func KindOf(err error) Kind {
	if err == nil {
		return None
	}
	if kind := kindIn(err); kind != None {
		return kind
	}
	return Internal
}

// kindIn returns the outermost kind in an error, or None.
func kindIn(err error) Kind {
	switch err := err.(type) { //nolint:errorlint // it walks the tree of wrapped errors itself, as joined ones need judgement
	case Kind:
		return err
	case *Error:
		return err.kind
	case interface{ Unwrap() error }:
		return kindIn(err.Unwrap())
	case interface{ Unwrap() []error }:
		return mostCautious(err.Unwrap())
	}
	return None
}

// mostCautious returns the first kind that does not rule out execution, or else the first kind.
func mostCautious(joined []error) Kind {
	first := None
	for _, err := range joined {
		kind := kindIn(err)
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

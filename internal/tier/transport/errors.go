package transport

import (
	"errors"
	"fmt"
)

// The kinds of RemoteError that the package itself answers with.
const (
	KindInternal      = "internal"       // an error without a kind of its own, of the handler or of encoding the answer
	KindUnknownMethod = "unknown_method" // nothing is registered under the name
	KindBadRequest    = "bad_request"    // the body does not fit the handler's type
	KindBusy          = "busy"           // too many handlers run for the connection; this one was not started
	KindTooLong       = "too_long"       // the answer exceeds MaxLineBytes
)

var (
	// ErrClosed means that the pool, or the connection to the peer, was closed.
	ErrClosed = errors.New("link: closed")
	// ErrBackoff means that the peer could not be reached recently and is not dialled again before the backoff is over.
	ErrBackoff = errors.New("link: waiting before the next dial")
	// ErrQueueFull means that too many bytes are queued for the peer.
	ErrQueueFull = errors.New("link: queue full")
	// ErrBadLine means that the other side sent bytes that are no line of this protocol.
	ErrBadLine = errors.New("link: bad line")
)

// RemoteError is the error of a handler as the other side sent it.
type RemoteError struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// Error returns kind and message.
func (e *RemoteError) Error() string {
	return e.Kind + ": " + e.Message
}

// ErrorKind returns the kind.
func (e *RemoteError) ErrorKind() string {
	return e.Kind
}

// CallError means that a call or stream got no answer.
type CallError struct {
	Address string // of the peer
	Method  string
	// MayHaveArrived is false only if no byte of the request was written: then the call may be repeated without a duplicate.
	MayHaveArrived bool
	Cause          error
}

// Error returns method, address and cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", e.Method, e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Cause
}

// MayHaveArrived reports whether a failed call may have run at the other side. It is true for an error of the handler itself.
func MayHaveArrived(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.MayHaveArrived
	}
	var remote *RemoteError
	return errors.As(err, &remote)
}

// TooLongError means that a line or datagram exceeds its bound.
type TooLongError struct {
	Bytes int // of the line or datagram, as far as they were read
	Bound int
}

// Error returns both sizes.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("link: %d bytes are over the bound of %d", e.Bytes, e.Bound)
}

// errorKinder is an error with a kind, see package apierror.
type errorKinder interface {
	ErrorKind() string
}

// toRemoteError returns the error that is sent for a handler's error.
func toRemoteError(err error) *RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote
	}
	var kinder errorKinder
	if errors.As(err, &kinder) {
		return &RemoteError{Kind: kinder.ErrorKind(), Message: err.Error()}
	}
	return &RemoteError{Kind: KindInternal, Message: err.Error()}
}

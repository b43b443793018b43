package transport

import (
	"errors"
	"fmt"
)

// Kinds of error that the package itself answers with.
const (
	KindInternal      = "internal"       // a handler's error without a kind of its own
	KindUnknownMethod = "unknown_method" // nothing is registered under the name
	KindBadRequest    = "bad_request"    // the body does not fit the handler's type
	KindBusy          = "busy"           // too many calls are open on the connection; this one has not run
	KindTooLong       = "too_long"       // the answer does not fit one line
)

var (
	// ErrClosed means that the pool or server has been closed.
	ErrClosed = errors.New("link: closed")
	// ErrBackoff means that the peer could not be reached a moment ago and is not dialled again yet.
	ErrBackoff = errors.New("link: waiting before the next dial")
	// ErrQueueFull means that too many bytes wait for a peer already.
	ErrQueueFull = errors.New("link: queue full")
	// ErrBadLine means that the other side sent something that is no line of this protocol.
	ErrBadLine = errors.New("link: bad line")
)

// RemoteError is the error of a handler, as the other side reported it.
type RemoteError struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// Error gives kind and message.
func (e *RemoteError) Error() string {
	return e.Kind + ": " + e.Message
}

// ErrorKind gives the kind.
func (e *RemoteError) ErrorKind() string {
	return e.Kind
}

// CallError says why a call has no answer.
type CallError struct {
	Address string
	Method  string
	// MayHaveArrived is false only when no byte of the request was handed to the network.
	MayHaveArrived bool
	Cause          error
}

// Error names the call and the cause.
func (e *CallError) Error() string {
	return fmt.Sprintf("call %s at %s: %v", e.Method, e.Address, e.Cause)
}

// Unwrap gives the cause.
func (e *CallError) Unwrap() error {
	return e.Cause
}

// MayHaveArrived says whether a failed call may have run at the other side. An error of the handler itself counts.
func MayHaveArrived(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.MayHaveArrived
	}
	var remote *RemoteError
	return errors.As(err, &remote)
}

// TooLongError means that a line or a datagram is over its bound.
type TooLongError struct {
	Bytes int // as far as they were counted
	Bound int
}

// Error gives both sizes.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("link: %d bytes are over the bound of %d", e.Bytes, e.Bound)
}

// kinded is an error that knows its kind.
type kinded interface {
	ErrorKind() string
}

// asRemote turns a handler's error into what travels.
func asRemote(err error) *RemoteError {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote
	}
	var known kinded
	if errors.As(err, &known) {
		return &RemoteError{Kind: known.ErrorKind(), Message: err.Error()}
	}
	return &RemoteError{Kind: KindInternal, Message: err.Error()}
}

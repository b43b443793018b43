package transport

import (
	"errors"
	"fmt"
)

// The kinds of RemoteError that the server itself returns.
const (
	KindInternal      = "internal"       // the handler's error has no kind, or encoding the answer failed
	KindUnknownMethod = "unknown_method" // no handler is registered for the method
	KindBadRequest    = "bad_request"    // the body does not match the handler's type, or the number is in use
	KindBusy          = "busy"           // too many handlers are running for the connection, or there is no memory for the call or its answer
	KindTooLong       = "too_long"       // the answer exceeds MaxLineBytes
)

var (
	// ErrClosed means that the pool or the connection to the peer was closed.
	ErrClosed = errors.New("transport: pool or connection is closed")
	// ErrBackoff means that the last connection to the peer failed and the backoff is not over.
	ErrBackoff = errors.New("transport: peer is not dialled during the backoff after a failure")
	// ErrQueueFull means that too many bytes are queued for the peer.
	ErrQueueFull = errors.New("transport: send queue of the peer is full")
	// ErrBadLine means that the peer sent a line that is not part of the protocol.
	ErrBadLine = errors.New("transport: malformed line")
)

// RemoteError is an error that the peer returned for a call or stream.
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

// CallError means that a call or stream failed without an error from the peer.
type CallError struct {
	Address string // of the peer
	Method  string
	// MayHaveArrived is false only if no byte of the request was written, so that a retry cannot execute the request twice.
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

// MayHaveArrived reports whether a failed call may have reached the peer. It is true for every RemoteError.
func MayHaveArrived(err error) bool {
	var call *CallError
	if errors.As(err, &call) {
		return call.MayHaveArrived
	}
	var remote *RemoteError
	return errors.As(err, &remote)
}

// TooLongError means that a line or datagram exceeds its size limit.
type TooLongError struct {
	Bytes int // size of the line or datagram, or the bytes read of it so far
	Bound int
}

// Error returns both sizes.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("transport: line or datagram of %d bytes exceeds the limit of %d", e.Bytes, e.Bound)
}

// errorKinder is an error with a kind, see package apierror.
type errorKinder interface {
	ErrorKind() string
}

// toRemoteError converts a handler's error to the error that is sent to the caller.
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

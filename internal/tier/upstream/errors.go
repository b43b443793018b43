package upstream

import "fmt"

// Kind tells whether the endpoint may have run a request that failed. Whether the request may be retried depends on it.
type Kind int

// The kinds of errors.
const (
	// NeverSent means that no byte of the request has left this process: the request has not run and won't.
	NeverSent Kind = iota + 1
	// MayHaveRun means that bytes of the request were sent and nothing rules out that it has run.
	MayHaveRun
)

// String returns the kind as used in the text of an Error.
func (k Kind) String() string {
	if k == NeverSent {
		return "never sent"
	}
	return "may have run"
}

// Reason tells why a request failed.
type Reason string

// The reasons of an Error.
const (
	ConnectFailed   Reason = "connect"     // no connection could be established
	PoolExhausted   Reason = "busy"        // all of the endpoint's MaxConnections are in use
	PoolClosed      Reason = "closed"      // the pool is closed
	PermitRevoked   Reason = "recalled"    // the endpoint's Permit was no longer granted right before the write
	WriteFailed     Reason = "write"       // no byte of the request could be written
	ReadFailed      Reason = "read"        // reading the response failed
	ForeignResponse Reason = "foreign"     // only responses to other requests were received
	NoMemory        Reason = "memory"      // Request.ReserveHead refused the response's head
	Cancelled       Reason = "cancelled"   // the caller's context ended
	InvalidRequest  Reason = "bad_request" // the request can't be written as valid HTTP/1.1
)

// Error is the type of all errors of Pool.Do, and of the error of a Response whose body is truncated.
type Error struct {
	Kind   Kind
	Reason Reason
	Err    error // underlying error; may be nil
}

// Error returns the reason, the kind and the underlying error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("upstream: %s (%s)", e.Reason, e.Kind)
	}
	return fmt.Sprintf("upstream: %s (%s): %v", e.Reason, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

package upstream

import "fmt"

// Kind says what is known of a request whose response didn't come. Whether the request may be retried depends on it.
type Kind int

// The kinds of error.
const (
	// NeverSent says that no byte of the request has left this process: it has not run and won't.
	NeverSent Kind = iota + 1
	// MayHaveRun says that bytes of the request were sent and that nothing promises it hasn't run.
	MayHaveRun
)

// String names the kind.
func (k Kind) String() string {
	if k == NeverSent {
		return "never sent"
	}
	return "may have run"
}

// Reason is the step that failed.
type Reason string

// The reasons.
const (
	ConnectFailed   Reason = "connect"     // no connection could be made
	PoolExhausted   Reason = "busy"        // every connection that this process may have to the endpoint is in use
	PoolClosed      Reason = "closed"      // the pool is closed
	PermitRevoked   Reason = "recalled"    // the endpoint's permit was withdrawn before anything was written
	WriteFailed     Reason = "write"       // the request could not be written
	ReadFailed      Reason = "read"        // the response's head did not come
	ForeignResponse Reason = "foreign"     // the responses that came belong to other requests
	Cancelled       Reason = "cancelled"   // the caller's context ended
	InvalidRequest  Reason = "bad_request" // the request can't be put on the wire as it is
)

// Error is the only type of error that Pool.Do returns, and that of a Response whose body breaks off.
type Error struct {
	Kind   Kind
	Reason Reason
	Err    error // what the system or the library said; may be nil
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("upstream: %s (%s)", e.Reason, e.Kind)
	}
	return fmt.Sprintf("upstream: %s (%s): %v", e.Reason, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

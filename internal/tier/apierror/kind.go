// Package apierror holds the closed list of the serving tier's error kinds and the table from kind to HTTP response. The response that a
// client gets depends on the kind alone. So no code chooses by hand a status that tells clients that a request was not executed and may
// be retried. All parts of the tier that answer clients or operators use it. Its values are immutable.
package apierror

import "fmt"

// Kind is a kind of error. A Kind is itself an error, so that frequent errors can be returned without an allocation.
type Kind uint8

// Kinds of errors. None stands for no error.
const (
	None Kind = iota

	// Requests that were not sent to any endpoint.

	BadRequest       // the request can't be parsed
	RequestTimeout   // the client sent the request too slowly
	HeadersTooLarge  // the header section exceeds the limit
	BodyTooLarge     // the body exceeds the limit
	NoRoute          // no route matches host and path
	NotReady         // the process has no configuration, no endpoints, or no route to a leader
	NoEndpoint       // the service has no endpoint that can take the request
	Overloaded       // the request was shed because of overload
	DeadlineTooShort // the client's deadline is too short for any endpoint
	ShuttingDown     // the process is ending
	BudgetExhausted  // the rest of the program's budget is too small for the turn
	TurnNotFound     // a leader has confirmed that the earlier turn does not exist
	StateUnavailable // the program's state can't be read or written now
	StorageFull      // the stores are short of memory or disk, and reject new programs

	// Requests that were sent to an endpoint.

	EndpointRefused   // every attempted endpoint rejected the request without executing it
	MayHaveExecuted   // the request was sent, and may have been executed
	EndpointTimeout   // the request was sent, and no response arrived in time
	ResponseTruncated // the response has begun, but can't be completed

	// Orders of the operator.

	InvalidConfiguration // the configuration is invalid, whatever the current one is
	VersionConflict      // another version is current
	NotLeader            // another process is the leader of the group that the order concerns
	Unconfirmed          // the order may or may not take effect
	TooFewStores         // too few storage machines would remain
	UnknownNode          // no machine has this name
	UnknownService       // no service has this name
	OperationInProgress  // this order, or another one on the same object, is in progress

	Internal // any other error

	kindCount
)

// kindNames are the texts of the kinds in messages and metric labels. Operators' dashboards depend on them.
var kindNames = [kindCount]string{
	None:                 "none",
	BadRequest:           "bad request",
	RequestTimeout:       "request timeout",
	HeadersTooLarge:      "headers too large",
	BodyTooLarge:         "body too large",
	NoRoute:              "no route",
	NotReady:             "not ready",
	NoEndpoint:           "no endpoint",
	Overloaded:           "overloaded",
	DeadlineTooShort:     "time too short",
	ShuttingDown:         "shutting down",
	BudgetExhausted:      "budget spent",
	TurnNotFound:         "no such turn",
	StateUnavailable:     "state unavailable",
	StorageFull:          "storage full",
	EndpointRefused:      "endpoint refused",
	MayHaveExecuted:      "may have run",
	EndpointTimeout:      "endpoint timeout",
	ResponseTruncated:    "answer cut off",
	InvalidConfiguration: "invalid configuration",
	VersionConflict:      "version conflict",
	NotLeader:            "not owner",
	Unconfirmed:          "unconfirmed",
	TooFewStores:         "too few stores",
	UnknownNode:          "unknown node",
	UnknownService:       "unknown service",
	OperationInProgress:  "order under way",
	Internal:             "internal",
}

// Kinds lists all kinds of error, without None.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount-1)
	for kind := None + 1; kind < kindCount; kind++ {
		kinds = append(kinds, kind)
	}
	return kinds
}

// String returns the kind's text.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// Error implements error.
func (k Kind) Error() string {
	return k.String()
}

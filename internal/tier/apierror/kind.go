// Package apierror holds the closed list of the serving tier's error kinds and the table from kind to HTTP response. What a client
// gets follows from the kind alone, so that a status from which clients conclude that a request was not executed, and that they
// may retry it, is never chosen by hand. All parts of the tier that answer clients or operators use it. Its values are immutable.
package apierror

import "fmt"

// Kind is one kind of error. A Kind is itself an error, so that a frequent one can be returned without an allocation.
type Kind uint8

// The kinds. None stands for no error.
const (
	None Kind = iota

	// Of requests that were not sent to any endpoint.

	BadRequest       // the request can't be read
	RequestTimeout   // the client was too slow to send the request
	HeadersTooLarge  // the header section is over the limit
	BodyTooLarge     // the body is over the limit
	NoRoute          // no route has this host and path
	NotReady         // the process lacks a configuration, endpoints or the route to a leader
	NoEndpoint       // the service has no endpoint that could take the request
	Overloaded       // load shedding
	DeadlineTooShort // the client's deadline is too short for any endpoint
	ShuttingDown     // the process is ending
	BudgetExhausted  // what is left of the program's budget is too little for the turn
	TurnNotFound     // a leader has confirmed that there is no such earlier turn
	StateUnavailable // the program's state can't be read or written at present
	StorageFull      // the stores are short of memory or disk, and begin no new programs

	// Of requests that were sent to an endpoint.

	EndpointRefused   // every endpoint that was tried has rejected the request without executing it
	MayHaveExecuted   // the request was sent, and nothing rules out that it was executed
	EndpointTimeout   // the request was sent, and no response came in time
	ResponseTruncated // a response that the client has begun to receive can't be completed

	// Of the operator's orders.

	InvalidConfiguration // the configuration can't be accepted whatever the current one is
	VersionConflict      // another version is current
	NotLeader            // another process is the leader of what the order is about
	Unconfirmed          // the order may or may not take effect
	TooFewStores         // too few storage machines would remain
	UnknownNode          // there is no machine of this name
	UnknownService       // there is no service of this name
	OperationInProgress  // the order, or another on the same object, is in progress

	Internal // anything else

	kindCount
)

// kindNames are the kinds' texts in messages, and labels of metrics: operators' dashboards depend on them.
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

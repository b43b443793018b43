// Package apierror holds the closed list of the serving tier's error kinds and the table from kind to answer. What a client
// is told follows from the kind alone, so a status that promises that a request has not run is never chosen by hand.
package apierror

import "fmt"

// Kind is one kind of error. A kind is itself an error, so that a frequent one can be returned without an allocation.
type Kind uint8

// The kinds. None stands for no error.
const (
	None Kind = iota

	// Of requests that have not been sent to any endpoint.

	BadRequest       // the request can't be read
	RequestTimeout   // the client was too slow in sending the request
	HeadersTooLarge  // the head is over the limit
	BodyTooLarge     // the body is over the limit
	NoRoute          // no route has this host and path
	NotReady         // the process lacks a configuration, endpoints or the way to an owner
	NoEndpoint       // the service has no endpoint that could take the request
	Overloaded       // the request was refused so that others are served
	DeadlineTooShort // the client's time is too short for any endpoint
	ShuttingDown     // the process is ending
	BudgetExhausted  // the program's budget doesn't hold the turn
	TurnNotFound     // an owner knows that there is no such earlier turn
	StateUnavailable // the program's state can't be read or written now

	// Of requests that were sent to an endpoint.

	EndpointRefused   // every endpoint that was asked has promised not to run the request
	MayHaveExecuted   // the request was sent, and nothing promises that it has not run
	EndpointTimeout   // the request was sent, and no answer came in time
	ResponseTruncated // an answer that the client has begun to get can't be completed

	// Of the operator's orders.

	InvalidConfiguration // the configuration can't be taken whatever the current one is
	VersionConflict      // another version is current
	NotLeader            // another process owns what the order is about
	Unconfirmed          // the order may or may not take effect
	TooFewStores         // too few storage machines would remain
	UnknownNode          // there is no machine of this name
	UnknownService       // there is no service of this name
	OperationInProgress  // the order, or another about the same thing, is under way

	Internal // anything else

	kindCount
)

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

// String names the kind.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return kindNames[k]
}

// Error names the kind.
func (k Kind) Error() string {
	return k.String()
}

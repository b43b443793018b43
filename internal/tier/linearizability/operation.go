// Package linearizability checks histories of operators' calls on the configuration: whether all of them can have taken effect one
// after the other, each between its call and its response, on a compare-and-set register. An order is an operator's request to
// replace the configuration; it takes effect at most once, however often it is sent. The package is pure, and only tests and
// simulations use it.
//
// The algorithm is the search of Wing and Gong, Testing and Verifying Concurrent Objects (1993), with the memoization of Lowe, Testing for
// Linearizability (2017).
package linearizability

import (
	"fmt"
	"strings"
)

// Kind is the kind of a call.
type Kind int

// The kinds of call.
const (
	Put Kind = iota // sends an order, which replaces the configuration
	Get             // reads the newest configuration
)

// Outcome is the result that a caller got.
type Outcome int

// The outcomes of a call.
const (
	Unknown      Outcome = iota // no response or an ambiguous one: an order may take effect at any time after its call, or never
	Accepted                    // an order has taken effect, by this call or an earlier one
	Conflict                    // another version is current
	StaleVersion                // an order's number isn't higher than the current one
	Read                        // the result of a Get
)

var outcomeNames = map[Outcome]string{Unknown: "unknown", Accepted: "accepted", Conflict: "conflict", StaleVersion: "stale version", Read: "read"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// Order is the content of a Put. Two orders with equal fields are the same order.
type Order struct {
	Base    uint64 // number of the version that must be current
	Number  uint64 // number of the new version
	Content string
}

// Version is the result of a Get.
type Version struct {
	Number  uint64 // 0: none yet
	Content string
}

// Operation is one call of one operator. Times are on one clock, in any unit.
type Operation struct {
	Operator int
	Kind     Kind
	Order    Order // of a Put
	Outcome  Outcome
	Version  Version // of a Get
	Call     int64   // when it was sent
	Return   int64   // when its response came; meaningless if the outcome is Unknown
}

// String describes the operation on one line.
func (o *Operation) String() string {
	what := fmt.Sprintf("get: %d %q", o.Version.Number, o.Version.Content)
	if o.Kind == Put {
		what = fmt.Sprintf("put %d on %d, %q", o.Order.Number, o.Order.Base, o.Order.Content)
	}
	if o.Outcome == Unknown {
		return fmt.Sprintf("[%d, ...] operator %d, %s: %s", o.Call, o.Operator, what, o.Outcome)
	}
	return fmt.Sprintf("[%d, %d] operator %d, %s: %s", o.Call, o.Return, o.Operator, what, o.Outcome)
}

// ViolationError says that no sequence of the operations explains all responses. Its integers are indexes into Operations.
type ViolationError struct {
	Operations []Operation
	Linearized []int // the longest sequence found whose responses are explained
	Candidates []int // operations one of which had to come next, though none explains its response
}

// Error implements error. It lists all operations.
func (e *ViolationError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "history is not linearizable: after %v, the response of none of %v is explained\n", e.Linearized, e.Candidates)
	for i := range e.Operations {
		fmt.Fprintf(&text, "%4d %s\n", i, &e.Operations[i])
	}
	return text.String()
}

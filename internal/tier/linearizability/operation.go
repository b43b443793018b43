// Package linearizability checks what operators have seen of the configuration: whether all their calls can have taken effect one
// after the other, each between its call and its answer, on a register with compare-and-set whose orders count once. It is
// pure.
package linearizability

import (
	"fmt"
	"strings"
)

// Kind is what a call asks for.
type Kind int

// The kinds.
const (
	Put Kind = iota // an order to replace the configuration
	Get             // the newest configuration
)

// Outcome is what a call was answered.
type Outcome int

// The outcomes.
const (
	Unknown      Outcome = iota // no clear answer: an order may take effect at any time after its call, or never
	Accepted                    // now, or before
	Conflict                    // another version is current
	StaleVersion                // its number isn't higher than the current one
	Read                        // the answer to a Get
)

var outcomeNames = map[Outcome]string{Unknown: "unclear", Accepted: "taken", Conflict: "conflict", StaleVersion: "not newer", Read: "read"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Order is the content of a Put. Two of the same content are the same order.
type Order struct {
	Base    uint64
	Number  uint64
	Content string
}

// Version is what a Get tells.
type Version struct {
	Number  uint64 // 0: none yet
	Content string
}

// Operation is one call of one operator.
type Operation struct {
	Operator int
	Kind     Kind
	Order    Order // of a Put
	Outcome  Outcome
	Version  Version // of a Get
	Call     int64   // when it was sent
	Return   int64   // when its answer came; without meaning if that was unclear
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

// ViolationError says that there is no order of the operations that explains all answers.
type ViolationError struct {
	Operations []Operation
	Linearized []int // the longest sequence that was found to explain its answers
	Candidates []int // the operations of which one had to come next
}

// Error lists the linearizability.
func (e *ViolationError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the history is not linearizable: after %v, none of %v explains its answer\n", e.Linearized, e.Candidates)
	for i := range e.Operations {
		fmt.Fprintf(&text, "%4d %s\n", i, &e.Operations[i])
	}
	return text.String()
}

// Package rules holds what a plug-in may do to a message and to an answer. It is pure: no clock, I/O or state; all of it
// is safe for concurrent use. The tables of docs/plugins.md are these. Package plugin calls it for each wish of a plug-in,
// fronts say what they let be changed.
//
// rules.go has limits and refusals, message.go what goes out, answer.go what comes back.
package rules

import "time"

// Limits bounds what a plug-in may ask for.
type Limits struct {
	Headers       int           // that go out with one message
	NameSize      int           // bytes of a header's name
	ValueSize     int           // bytes of its value
	HeaderSize    int           // bytes of all of them together, as they stand on the wire
	BodySize      int           // bytes of a body that takes another's place
	MaxRetryAfter time.Duration // that an answer's phase may ask for; a longer wait is cut to it
}

// Front is what a front lets plug-ins change.
type Front struct {
	Name string
	// Owned are the names of headers that the protocol owns, in canonical form; a "*" at the end stands for any rest.
	Owned []string
	// Body checks that a body may take another's place; nil: no body may.
	Body func(before, after []byte) bool
}

// Refusal is why the host did not do what a plug-in asked. 0: it did.
type Refusal int32

// The refusals; the numbers are part of the interface.
const (
	None    Refusal = 0
	Owned   Refusal = -1 // the protocol owns this header
	Unclean Refusal = -2 // characters that a header can't hold: CR, LF and other controls
	Large   Refusal = -3 // over a limit on sizes or counts
	Phase   Refusal = -4 // not in this phase
	Locked  Refusal = -5 // this front lets no plug-in change that
	Looser  Refusal = -6 // it would make the relay less careful
	Absent  Refusal = -7 // there is no such thing
)

var refusalTexts = map[Refusal]string{
	None:    "done",
	Owned:   "the protocol owns it",
	Unclean: "unclean characters",
	Large:   "too large",
	Phase:   "not in this phase",
	Locked:  "this front does not allow it",
	Looser:  "less careful",
	Absent:  "absent",
}

// String is the refusal as tools print it.
func (r Refusal) String() string { return refusalTexts[r] }

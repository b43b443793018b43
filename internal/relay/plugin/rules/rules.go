// Package rules decides what a plug-in may change of a message, and of the relay's reaction to an answer. It has no clock, I/O or
// state, and is safe for concurrent use. docs/plugins.md has the same rules as tables. Package plugin calls it for each request of a
// plug-in; each front provides a Front with what plug-ins may change there.
//
// rules.go has limits and refusals, message.go the rules for messages, answer.go those for answers.
package rules

import "time"

// Limits are the limits on what a plug-in may request. Sizes are in bytes.
type Limits struct {
	Headers       int           // number of extra headers of one message
	NameSize      int           // of a header's name
	ValueSize     int           // of a header's value
	HeaderSize    int           // of all extra headers of a message on the wire
	BodySize      int           // of a new body
	MaxRetryAfter time.Duration // longest wait that can be requested in the answer phase; a longer request is cut to it
}

// Front specifies what plug-ins may change at one front.
type Front struct {
	Name string
	// Owned lists the headers that the front's protocol sets, in canonical form; a name that ends with "*" is a prefix.
	Owned []string
	// Body reports whether the body after may replace the body before; nil: the body can't be changed.
	Body func(before, after []byte) bool
}

// Refusal is the reason why the host refused a plug-in's request; 0: it did not.
type Refusal int32

// The refusals. Their numbers are part of the ABI.
const (
	None    Refusal = 0
	Owned   Refusal = -1 // the protocol owns this header
	Unclean Refusal = -2 // the name is no token, or the value has a line break or other characters that a header can't have
	Large   Refusal = -3 // over a limit on sizes or counts
	Phase   Refusal = -4 // not in this phase
	Locked  Refusal = -5 // the front does not allow that change
	Looser  Refusal = -6 // it would make the relay less careful
	Absent  Refusal = -7 // there is no such header, field or key
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

// String returns the refusal as tools print it.
func (r Refusal) String() string { return refusalTexts[r] }

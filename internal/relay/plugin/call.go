package plugin

import (
	"fmt"
	"net/textproto"
	"strings"
	"time"

	"mastusher/internal/relay/plugin/rules"
)

// Phase is when a plug-in is called.
type Phase uint8

// The phases, as bits of the mask that a module of ABI 2 exports.
const (
	Arrival Phase = 1 << iota // before the 202: what the message is sent as is fixed here, once
	Answer                    // a destination has answered
	End                       // a message that was taken on is over
)

// allPhases are the phases in the order in which a message meets them.
var allPhases = [...]Phase{Arrival, Answer, End}

// String is the phase's name as configurations have it.
func (p Phase) String() string {
	switch p {
	case Arrival:
		return "arrival"
	case Answer:
		return "answer"
	case End:
		return "end"
	}
	return fmt.Sprintf("phases %03b", uint8(p))
}

// ParsePhase reads a phase's name; false: there is none of that name.
func ParsePhase(name string) (Phase, bool) {
	for _, p := range allPhases {
		if name == p.String() {
			return p, true
		}
	}
	return 0, false
}

// phaseNames are the names of the phases of a mask, joined by commas.
func phaseNames(mask Phase) string {
	var names []string
	for _, p := range allPhases {
		if mask&p != 0 {
			names = append(names, p.String())
		}
	}
	return strings.Join(names, ",")
}

// phaseMask is the mask of phases by their names; those that there are not are passed over.
func phaseMask(names []string) (mask Phase) {
	for _, name := range names {
		p, _ := ParsePhase(name)
		mask |= p
	}
	return mask
}

// Call is what a plug-in is told of one message. It belongs to the call: nothing in it is written to later.
type Call struct {
	Phase     Phase
	Front     string // name of the front that the message came by
	ID        string // of the message
	Key       string // idempotency key; "": it has none
	Partner   int
	Class     int
	ClassName string
	Now       time.Time // the plug-in's clock, for the whole call

	// On arrival:
	Resubmitted bool          // the client has handed it in before
	TimeLeft    time.Duration // until the deadline
	Shape       rules.Shape   // headers that go out, as the plug-ins before have left them

	// On arrival the client's, upon an answer the destination's:
	In   textproto.MIMEHeader
	Body []byte // upon an answer its first bytes only

	// Upon an answer:
	Destination string       // name of the destination that answered
	Status      int          // its HTTP status
	Answer      rules.Answer // what the relay makes of it

	Result string // at the end: what the message ended as, such as delivered

	guard *rules.Front // what the front lets plug-ins change
}

// Outcome is what a plug-in wants. Of a call that failed nothing of it counts but CPU and Logs.
type Outcome struct {
	Reject  bool        // on arrival: the message is not taken on
	Status  int         // with Reject: 4xx
	Reason  string      // with Reject
	Shape   rules.Shape // headers that go out
	Body    []byte      // nil: unchanged
	Ask     rules.Ask   // upon an answer
	Refused []Refused   // what it asked for and did not get
	Logs    []string
	CPU     time.Duration // processor time that the call took
}

// Refused is one thing that the host did not do.
type Refused struct {
	What string // such as "header X-Desk"
	Why  rules.Refusal
}

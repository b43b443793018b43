package plugin

import (
	"fmt"
	"net/textproto"
	"strings"
	"time"

	"mastusher/internal/relay/plugin/rules"
)

// Phase is the point in a message's life at which a plug-in is called, or a mask of several.
type Phase uint8

// The phases, as bits of the mask that a module of ABI 2 exports.
const (
	Arrival Phase = 1 << iota // before the client is answered 202; fixes, once, the headers and body that are sent
	Answer                    // a destination has answered
	End                       // an accepted message has ended
)

// allPhases lists the phases in the order in which a message goes through them.
var allPhases = [...]Phase{Arrival, Answer, End}

// String returns the phase's name as used in configurations.
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

// ParsePhase returns the phase of a name; false: there is no such phase.
func ParsePhase(name string) (Phase, bool) {
	for _, p := range allPhases {
		if name == p.String() {
			return p, true
		}
	}
	return 0, false
}

// phaseNames returns the names of the phases in a mask, joined by commas.
func phaseNames(mask Phase) string {
	var names []string
	for _, p := range allPhases {
		if mask&p != 0 {
			names = append(names, p.String())
		}
	}
	return strings.Join(names, ",")
}

// phaseMask returns the mask of the named phases. It ignores unknown names.
func phaseMask(names []string) (mask Phase) {
	for _, name := range names {
		p, _ := ParsePhase(name)
		mask |= p
	}
	return mask
}

// Call is the input of one call to a plug-in: what the plug-in may know about a message. It is not modified once the call has
// begun.
type Call struct {
	Phase     Phase
	Front     string // name of the front that received the message
	ID        string // of the message
	Key       string // idempotency key; "": none
	Partner   int
	Class     int
	ClassName string
	Now       time.Time // the plug-in's clock, for the whole call

	// On arrival:
	Resubmitted  bool               // the client has submitted the message before
	TimeLeft     time.Duration      // until the message's deadline
	ExtraHeaders rules.ExtraHeaders // extra headers that the earlier plug-ins have set

	// On arrival the headers and body of the client's request, in the answer phase those of the destination's answer:
	In   textproto.MIMEHeader
	Body []byte // of an answer only the first bytes

	// In the answer phase:
	Destination string       // name of the destination that answered
	Status      int          // HTTP status of the answer
	Answer      rules.Answer // the relay's interpretation of the answer

	Result string // in the end phase: how the message ended, such as delivered

	frontRules *rules.Front // what the front lets plug-ins change
}

// Outcome is what a plug-in requested in a call. After a failed call only CPU and Logs are set.
type Outcome struct {
	Reject       bool               // on arrival: the message is not accepted
	Status       int                // with Reject: 4xx
	Reason       string             // with Reject
	ExtraHeaders rules.ExtraHeaders // extra headers that are sent with the message
	Body         []byte             // new body of the message; nil: unchanged
	Ask          rules.Ask          // in the answer phase
	Refused      []Refused          // requests that the host refused
	Logs         []string
	CPU          time.Duration // processor time that the call took
}

// Refused is a request of a plug-in that the host refused.
type Refused struct {
	What string // such as "header X-Desk"
	Why  rules.Refusal
}

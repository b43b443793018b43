package plugin

import (
	"fmt"
	"net/textproto"
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

// ParsePhase reads a phase's name.
func ParsePhase(s string) (Phase, bool) {
	for _, p := range []Phase{Arrival, Answer, End} {
		if s == p.String() {
			return p, true
		}
	}
	return 0, false
}

// Call is what a plug-in is told of one message. It belongs to the call: nothing in it is written to later.
type Call struct {
	Phase       Phase
	Front       string
	ID, Key     string
	Partner     int
	Class       int
	ClassName   string
	Resubmitted bool
	TimeLeft    time.Duration        // until the deadline; on arrival
	In          textproto.MIMEHeader // the client's headers on arrival, the destination's upon an answer
	Body        []byte               // on arrival the message's, upon an answer its first bytes
	Shape       rules.Shape          // headers that go out, as the plug-ins before have left them
	Destination string               // name of the destination that answered
	Status      int                  // its status
	Answer      rules.Answer         // what the relay makes of it
	Result      string               // the message ended as
	Now         time.Time            // the plug-in's clock, for the whole call
	guard       *rules.Front
}

// Outcome is what a plug-in wants. Of a call that failed nothing of it counts.
type Outcome struct {
	Reject  bool
	Status  int // with Reject: 4xx
	Reason  string
	Shape   rules.Shape
	Body    []byte // nil: unchanged
	Ask     rules.Ask
	Refused []Refused // what it asked for and did not get
	Logs    []string
	CPU     time.Duration
}

// Refused is one thing that the host did not do.
type Refused struct {
	What string
	Why  rules.Refusal
}

package rules

import (
	"time"

	"mastusher/control"
)

// Answer is the relay's interpretation of a destination's answer for one message.
type Answer struct {
	Result     control.Result
	RetryAfter time.Duration // the wait that the destination requested; 0: none
	Final      bool          // the message has ended
}

// Ask is what a plug-in requests in the answer phase.
type Ask struct {
	RetryAfter time.Duration // wait at least that long; 0: no request
	Refuse     bool          // don't send the message again
}

// Tighten applies a plug-in's request to an answer if that makes the relay more careful: it sends later, or no longer sends a message
// that never ran. Else Tighten returns the answer unchanged, and Looser.
//
//	the answer                  longer wait   refusal for good
//	delivered, or ended         no            no
//	throttled, with a wait      yes           no: the wait applies to all of the partner's messages, and would be lost
//	throttled, without a wait   yes           yes: the message never ran
//	error (500, ...)            no            no: the message may have run, and a refusal would claim that it did not
//	refused for good            no            it is refused already
//	anything else               no            no: there was no answer
func Tighten(a Answer, ask Ask, limits *Limits) (Answer, Refusal) {
	if ask == (Ask{}) {
		return a, None
	}
	if a.Final || a.Result != control.Throttled {
		return a, Looser
	}
	if ask.Refuse {
		if a.RetryAfter > 0 || ask.RetryAfter > 0 {
			return a, Looser
		}
		a.Result = control.Rejected
		return a, None
	}
	if ask.RetryAfter < a.RetryAfter {
		return a, Looser
	}
	a.RetryAfter = max(a.RetryAfter, min(ask.RetryAfter, limits.MaxRetryAfter))
	return a, None
}

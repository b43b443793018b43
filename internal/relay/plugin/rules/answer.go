package rules

import (
	"time"

	"mastusher/control"
)

// Answer is what the relay makes of a destination's answer for one message.
type Answer struct {
	Result     control.Result
	RetryAfter time.Duration // the wait that the destination has told; 0: none
	Final      bool          // the message is over
}

// Ask is what a plug-in wants made of it.
type Ask struct {
	RetryAfter time.Duration // a wait of at least so long; 0: none
	Refuse     bool          // the message is given up for good
}

// Tighten does what a plug-in asks as far as it makes the relay more careful; else it returns the answer as it is, and Looser.
//
//	the answer         a longer wait   refusal for good
//	delivered, over    no              no
//	full, a wait told  yes             no: the wait binds all of the partner's messages, and would be lost
//	full, none told    yes             yes: it never ran
//	error (500, ...)   no              no: it may have run, and a refusal would claim that it did not
//	refused for good   no              it is one
//	anything else      no              no: no answer came
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

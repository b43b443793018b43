package control

import (
	"math"
	"time"
)

// The gap is how long the next attempt at a route waits after a first refusal, in the mean, in seconds. It is learnt for each kind of
// destination from whether attempts after a refusal are let in.
const (
	initialRetryGap  = 2.0
	retryGapDecrease = 0.93 // factor, after such an attempt that was let in
	retryGapIncrease = 1.05 // factor, after one that was refused again
	minRetryGap      = 0.3
	maxRetryGap      = 6.0
	// maxBackoffDoublings is the number of refusals in a row up to which the backoff doubles.
	maxBackoffDoublings = 5
)

// kindState is what a sender has learnt of one kind of destination.
type kindState struct {
	connectionsShortUntil time.Duration // until then its endpoints are taken to be short of connections
	retryGap              float64       // seconds, see initialRetryGap
}

// backOff counts a refusal of any sort and puts off the next attempt at route: the time doubles with each refusal in a row, and chance
// keeps hundreds of senders from coming back together. It does nothing and returns false for a refusal that belongs with the last one.
func (s *Sender) backOff(route *routeState, kind *kindState) bool {
	if s.now-route.refusedAt < decreaseInterval {
		return false
	}
	route.refusedAt = s.now
	route.refusalStreak++
	gap := min(kind.retryGap, max(decreaseInterval.Seconds(), 1/route.sends.rate(s.now)))
	route.retryAt = s.now + toDuration(gap*math.Exp2(float64(min(route.refusalStreak, maxBackoffDoublings)-1))*(0.5+s.random()))
	return true
}

// learnRetryGap takes the result of an attempt. How soon one after a refusal is let in tells whether refused calls use up the limit, and
// how many other senders retry.
func (k *kindState) learnRetryGap(msg *message, result Result) {
	if msg.wasThrottled && result == Throttled {
		k.retryGap = min(maxRetryGap, k.retryGap*retryGapIncrease)
	} else if msg.wasThrottled && result == Delivered {
		k.retryGap = max(minRetryGap, k.retryGap*retryGapDecrease)
	}
	msg.wasThrottled = result == Throttled
}

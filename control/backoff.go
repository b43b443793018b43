package control

import (
	"math"
	"time"
)

// The retry gap is the mean pause, in seconds, before the next attempt at a route after a first refusal. It is learnt for each kind of
// destination from whether attempts after a refusal are accepted.
const (
	initialRetryGap  = 2.0
	retryGapDecrease = 0.93 // factor after such an attempt was accepted
	retryGapIncrease = 1.05 // factor after such an attempt was refused again
	minRetryGap      = 0.3
	maxRetryGap      = 6.0
	// maxBackoffDoublings is the number of consecutive refusals after which the backoff stops doubling.
	maxBackoffDoublings = 5
)

// kindState is what a sender has learnt about one kind of destination.
type kindState struct {
	connectionsShortUntil time.Duration // until then, endpoints of this kind are assumed to have too few connections
	retryGap              float64       // seconds; see initialRetryGap
}

// backOff counts a refusal of any kind and delays the next attempt at route. The delay doubles with each consecutive refusal, and is
// jittered so that many senders don't return at the same time. A refusal within decreaseInterval of the last one counts as part of that
// one: backOff then does nothing and returns false.
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

// learnRetryGap updates the retry gap with the result of an attempt. Whether an attempt after a refusal is accepted depends on whether
// refused calls use up the limit, and on how many other senders retry.
func (k *kindState) learnRetryGap(msg *message, result Result) {
	if msg.wasThrottled && result == Throttled {
		k.retryGap = min(maxRetryGap, k.retryGap*retryGapIncrease)
	} else if msg.wasThrottled && result == Delivered {
		k.retryGap = max(minRetryGap, k.retryGap*retryGapDecrease)
	}
	msg.wasThrottled = result == Throttled
}

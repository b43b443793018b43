package platformlist

import (
	"math"
	"time"
)

// Parameters of the token bucket.
const (
	burstDivisor  = 8   // the burst is the rate divided by this; a larger value allows shorter bursts and a faster refill
	lowRateFactor = 0.9 // refill, as a share of the rate, where the rate is too low for that
)

// tokenBucket limits the rate of calls. It is pure: the caller passes the time.
type tokenBucket struct {
	size    float64 // maximum of tokens
	perS    float64 // refill, tokens a second
	tokens  float64 // negative: callers wait for as many
	updated time.Time
}

// newTokenBucket returns a full bucket that keeps the calls of any one second within the rate: the burst and the refill of a
// second must not exceed it together.
func newTokenBucket(ratePerS float64, now time.Time) *tokenBucket {
	size := math.Max(1, math.Floor(ratePerS/burstDivisor))
	perS := ratePerS - size
	if perS < ratePerS/2 {
		perS = ratePerS * lowRateFactor
	}
	return &tokenBucket{size: size, perS: perS, tokens: size, updated: now}
}

// take takes a token, and returns how long the caller must wait before its call.
func (b *tokenBucket) take(now time.Time) time.Duration {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = math.Min(b.size, b.tokens+elapsed.Seconds()*b.perS)
		b.updated = now
	}
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(math.Ceil(-b.tokens / b.perS * float64(time.Second)))
}

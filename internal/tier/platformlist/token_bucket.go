package platformlist

import (
	"math"
	"time"
)

// Parameters of the token bucket.
const (
	burstDivisor  = 8   // the burst is the rate divided by this; a larger value makes bursts shorter and the refill faster
	lowRateFactor = 0.9 // refill as a fraction of the rate if rate minus burst would be less than half the rate
)

// tokenBucket limits the rate of calls. The caller passes the time.
type tokenBucket struct {
	size    float64 // maximum number of tokens
	perS    float64 // refill in tokens per second
	tokens  float64 // negative while callers wait for tokens
	updated time.Time
}

// newTokenBucket returns a full bucket. The burst plus the refill of one second must not exceed the rate, so that the calls in any
// second stay within the rate.
func newTokenBucket(ratePerS float64, now time.Time) *tokenBucket {
	size := math.Max(1, math.Floor(ratePerS/burstDivisor))
	perS := ratePerS - size
	if perS < ratePerS/2 {
		perS = ratePerS * lowRateFactor
	}
	return &tokenBucket{size: size, perS: perS, tokens: size, updated: now}
}

// take takes a token and returns how long the caller must wait before its call.
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

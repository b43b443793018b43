package platformlist

import (
	"math"
	"time"
)

// tokenBucket is a token bucket. It is pure: the caller tells the time.
type tokenBucket struct {
	size    float64
	perS    float64
	tokens  float64
	updated time.Time
}

// newTokenBucket keeps the calls of any one second within the rate: what may be used at once and what comes in a second add
// up to it.
func newTokenBucket(ratePerS float64, now time.Time) *tokenBucket {
	size := math.Max(1, math.Floor(ratePerS/burstDivisor))
	perS := ratePerS - size
	if perS < ratePerS/2 {
		perS = ratePerS * lowRateFactor
	}
	return &tokenBucket{size: size, perS: perS, tokens: size, updated: now}
}

// take uses a token. The caller waits for the time given before it makes the call.
func (b *tokenBucket) take(now time.Time) time.Duration {
	if passed := now.Sub(b.updated); passed > 0 {
		b.tokens = math.Min(b.size, b.tokens+passed.Seconds()*b.perS)
		b.updated = now
	}
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(math.Ceil(-b.tokens / b.perS * nanosecondsFloatS))
}

// backoff doubles with each failure up to its bound; the share, from 0 to 1, takes away up to half.
func backoff(failures int, share float64) time.Duration {
	pause := maxBackoff
	if shift := failures - 1; shift < 8 {
		pause = min(pause, minBackoff<<shift)
	}
	return pause - time.Duration(share*float64(pause)/2)
}

package plugin

import "time"

// logBucket is a token bucket that limits log lines to a rate per second, with bursts of twice that number.
type logBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a token from the bucket, which is refilled with rate tokens per second; false: the bucket is empty.
func (b *logBucket) take(now time.Time, rate float64) bool {
	b.tokens = min(2*rate, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

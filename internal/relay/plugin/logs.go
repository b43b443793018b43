package plugin

import "time"

// logBucket is a token bucket that lets so many log lines through a second, and twice as many at once.
type logBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a token, at a rate a second; false: there is none.
func (b *logBucket) take(now time.Time, rate float64) bool {
	b.tokens = min(2*rate, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

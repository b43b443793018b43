package plugin

import "time"

// logBucket lets so many log lines through a second.
type logBucket struct {
	left float64
	at   time.Time
	lost uint64
}

func (l *logBucket) take(now time.Time, rate float64) bool {
	l.left = min(2*rate, l.left+now.Sub(l.at).Seconds()*rate)
	l.at = now
	if l.left < 1 {
		l.lost++
		return false
	}
	l.left--
	return true
}

package platformlist

import "time"

// Bounds of the backoff after failed calls.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff is the delay after that many failures in a row: it doubles with each, up to maxBackoff. jitter, from 0 to 1, takes away
// up to half of it.
func backoff(failures int, jitter float64) time.Duration {
	delay := maxBackoff
	if shift := failures - 1; shift < 8 {
		delay = min(delay, minBackoff<<shift)
	}
	return delay - time.Duration(jitter*float64(delay)/2)
}

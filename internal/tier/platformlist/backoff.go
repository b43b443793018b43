package platformlist

import "time"

// Bounds of the backoff after failed calls.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff returns the delay after a number of consecutive failures. It doubles with each failure from minBackoff to maxBackoff;
// jitter, from 0 to 1, subtracts up to half.
func backoff(failures int, jitter float64) time.Duration {
	delay := maxBackoff
	if shift := failures - 1; shift < 8 {
		delay = min(delay, minBackoff<<shift)
	}
	return delay - time.Duration(jitter*float64(delay)/2)
}

package program

import "math"

// Retention times, in milliseconds of the machine's clock.
const (
	clockMarginMs       = 30_000      // added to retentions that must not be cut short: leaders' clocks differ and are stepped
	inFlightRetentionMs = 2 * 60_000  // of a turn in flight; its relay has abandoned it if it takes longer
	endedRetentionMs    = 60_000      // of any ended turn at least, to recognise duplicates of its commands
	programRetentionMs  = 10 * 60_000 // of a budget record after its last use
	maxRetentionMs      = 24 * 60 * 60_000
	secondMs            = 1_000
)

// retentionMs returns how long a turn is retained after its last command.
func retentionMs(t *turn) int64 {
	switch t.state {
	case inFlight:
		return inFlightRetentionMs + clockMarginMs
	case complete:
		return max(t.requestedRetentionMs, endedRetentionMs) + clockMarginMs
	}
	return endedRetentionMs
}

// inFlightMs returns how long a turn in flight may still end, if its relay gives it so much time; 0: unknown.
func inFlightMs(timeLeftMs int64) int64 {
	if timeLeftMs <= 0 {
		return inFlightRetentionMs
	}
	return min(timeLeftMs, inFlightRetentionMs)
}

// requestedRetentionMs converts the retention that a command asks for from seconds to whole milliseconds, up to maxRetentionMs. It
// returns 0 for NaN and for numbers that aren't positive.
func requestedRetentionMs(seconds float64) int64 {
	if !(seconds > 0) {
		return 0
	}
	return int64(math.Ceil(min(seconds*secondMs, maxRetentionMs)))
}

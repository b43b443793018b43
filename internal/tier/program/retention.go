package program

import "math"

// Retention times, in milliseconds of the machine's clock.
const (
	clockMarginMs       = 30_000      // added where nothing may expire early: clocks of leaders differ and are stepped
	inFlightRetentionMs = 2 * 60_000  // a turn in flight for longer was abandoned by its relay
	endedRetentionMs    = 60_000      // of an ended turn that can't be continued, for duplicates of its commands
	programRetentionMs  = 10 * 60_000 // of a budget record after its last use
	maxRetentionMs      = 24 * 60 * 60_000
	secondMs            = 1_000
)

// retentionMs returns how long a turn is stored after its last command.
func retentionMs(t *turn) int64 {
	switch t.state {
	case inFlight:
		return inFlightRetentionMs + clockMarginMs
	case complete:
		return max(t.retainMs, endedRetentionMs) + clockMarginMs
	}
	return endedRetentionMs
}

// retainMs converts a retention of a command, in seconds, to whole milliseconds, up to maxRetentionMs. What is no positive
// number becomes 0.
func retainMs(seconds float64) int64 {
	if !(seconds > 0) {
		return 0
	}
	return int64(math.Ceil(min(seconds*secondMs, maxRetentionMs)))
}

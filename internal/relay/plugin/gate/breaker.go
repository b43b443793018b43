package gate

import "time"

// breakerState is the state of a circuit breaker.
type breakerState uint8

const (
	closed   breakerState = iota // calls are admitted
	open                         // no call is admitted until openUntil
	halfOpen                     // one trial call at a time is admitted
)

// timeoutExtraFailures is the number of additional failures that a timed-out call counts as.
const timeoutExtraFailures = 1

// resetFactor determines when the time that a breaker opens for is reset to Limits.OpenFor: after it has been closed for resetFactor
// times the time that it was open before.
const resetFactor = 10

// breaker is a circuit breaker. Failures need not be consecutive to open it: a plug-in that fails for every third message is as
// costly as one that always fails.
type breaker struct {
	state        breakerState
	failures     float64       // while closed: failures less FailureDecay for each success
	openUntil    time.Time     // while open
	openFor      time.Duration // how long it is open, or was open the last time
	trialRunning bool          // while half open: a trial is in progress
	successes    int           // while half open: successful trials in a row
	closedAt     time.Time     // when it last closed; zero: never
}

// admits reports whether a call may be made.
func (b *breaker) admits(now time.Time) bool {
	switch b.state {
	case open:
		return !now.Before(b.openUntil)
	case halfOpen:
		return !b.trialRunning
	}
	return true
}

// begin records an admitted call, and returns whether that call is a trial.
func (b *breaker) begin() bool {
	if b.state == closed {
		return false
	}
	b.state, b.trialRunning = halfOpen, true
	return true
}

// abandon ends a trial without a result, so that another one may follow. It does nothing if the call was no trial.
func (b *breaker) abandon(trial bool) {
	if trial {
		b.trialRunning = false
	}
}

// record counts the result of a call; trial is what begin returned for it.
func (b *breaker) record(now time.Time, limits *Limits, trial bool, r Result) {
	b.abandon(trial)
	failed := r != Succeeded
	switch {
	case b.state == open: // the call began before the breaker opened
	case b.state == halfOpen && !trial:
	case b.state == halfOpen && failed:
		b.open(now, min(2*b.openFor, limits.MaxOpenFor))
	case b.state == halfOpen:
		b.recordTrialSuccess(now, limits)
	case failed:
		b.recordFailure(now, limits, r)
	default:
		b.failures = max(0, b.failures-limits.FailureDecay)
	}
}

// recordTrialSuccess closes a half-open breaker after HalfOpenTrials successful trials in a row.
func (b *breaker) recordTrialSuccess(now time.Time, limits *Limits) {
	if b.successes++; b.successes >= limits.HalfOpenTrials {
		b.state, b.failures, b.closedAt = closed, 0, now
	}
}

// recordFailure opens a closed breaker when the failures reach FailureThreshold. It opens for twice as long as the last time if it
// closed only recently.
func (b *breaker) recordFailure(now time.Time, limits *Limits, r Result) {
	b.failures++
	if r == TimedOut {
		b.failures += timeoutExtraFailures
	}
	if b.failures < limits.FailureThreshold {
		return
	}
	openFor := limits.OpenFor
	if now.Sub(b.closedAt) < resetFactor*b.openFor {
		openFor = min(2*b.openFor, limits.MaxOpenFor)
	}
	b.open(now, openFor)
}

func (b *breaker) open(now time.Time, openFor time.Duration) {
	*b = breaker{state: open, failures: b.failures, openUntil: now.Add(openFor), openFor: openFor, closedAt: b.closedAt}
}

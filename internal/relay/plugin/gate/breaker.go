package gate

import "time"

// breakerState is the state of a circuit breaker.
type breakerState uint8

const (
	closed   breakerState = iota // calls go through
	open                         // none does, until a time
	halfOpen                     // one trial at a time
)

// timeoutExtraFailures is how much more than another failure a call that ran over its time counts.
const timeoutExtraFailures = 1

// quietFactor is how many times as long as it was open a breaker must have been closed for its next opening to be as
// short as the first.
const quietFactor = 10

// breaker is a circuit breaker. Failures need not come in a row: a plug-in that fails at each third message is
// as much of a burden as one that always does.
type breaker struct {
	state     breakerState
	failures  float64       // while closed, less what good calls have taken back
	openUntil time.Time     // while open
	openFor   time.Duration // that it is or was open for
	trialOut  bool          // while half open: a trial is under way
	successes int           // while half open: trials in a row
	closedAt  time.Time     // zero: it has never been open
}

// admits tells whether a call may go through.
func (b *breaker) admits(now time.Time) bool {
	switch b.state {
	case open:
		return !now.Before(b.openUntil)
	case halfOpen:
		return !b.trialOut
	}
	return true
}

// begin notes that a call is let in, and tells whether it is a trial.
func (b *breaker) begin() bool {
	if b.state == closed {
		return false
	}
	b.state, b.trialOut = halfOpen, true
	return true
}

// abandon ends a trial that has proved nothing.
func (b *breaker) abandon(trial bool) {
	if trial {
		b.trialOut = false
	}
}

// record counts the result of a call that began as a trial or not.
func (b *breaker) record(now time.Time, limits *Limits, trial bool, r Result) {
	b.abandon(trial)
	failed := r != Succeeded
	switch {
	case b.state == open: // a call from before it opened
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

// recordTrialSuccess closes a half-open breaker after enough trials in a row.
func (b *breaker) recordTrialSuccess(now time.Time, limits *Limits) {
	if b.successes++; b.successes >= limits.HalfOpenTrials {
		b.state, b.failures, b.closedAt = closed, 0, now
	}
}

// recordFailure opens a closed breaker when there have been enough failures: for longer than the last time if that is
// not long ago.
func (b *breaker) recordFailure(now time.Time, limits *Limits, r Result) {
	b.failures++
	if r == TimedOut {
		b.failures += timeoutExtraFailures
	}
	if b.failures < limits.FailureThreshold {
		return
	}
	openFor := limits.OpenFor
	if now.Sub(b.closedAt) < quietFactor*b.openFor {
		openFor = min(2*b.openFor, limits.MaxOpenFor)
	}
	b.open(now, openFor)
}

func (b *breaker) open(now time.Time, openFor time.Duration) {
	*b = breaker{state: open, failures: b.failures, openUntil: now.Add(openFor), openFor: openFor, closedAt: b.closedAt}
}

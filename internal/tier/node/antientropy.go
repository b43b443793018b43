package node

import "time"

// Parameters of anti-entropy with controllers.
const (
	missingInterval        = 100 * time.Millisecond // while a required section is missing
	normalInterval         = 700 * time.Millisecond // repairs lost messages well within the time allowed for a change to arrive
	frozenAfter            = time.Second            // a step later than this means that the process was frozen
	controllersAfterFreeze = 3                      // asked at the start and after a freeze, as some may be partitioned and stale
)

// antiEntropy decides when a process sends its digest to controllers, which answer with newer stamps. Members that can reach only
// controllers depend on it.
type antiEntropy struct {
	started bool
	nextAt  time.Duration
}

// due returns the number of controllers to ask now, and the time until the next call. sectionMissing tells whether a required
// section is missing.
func (a *antiEntropy) due(now time.Duration, sectionMissing bool) (count int, next time.Duration) {
	late := now - a.nextAt
	if late < 0 && (!sectionMissing || -late <= missingInterval) {
		return 0, -late
	}
	next = normalInterval
	if sectionMissing {
		next = missingInterval
	}
	startedOrThawed := !a.started || late > frozenAfter
	a.started, a.nextAt = true, now+next
	if startedOrThawed {
		return controllersAfterFreeze, next
	}
	return 1, next
}

package node

import "time"

// The times of anti-entropy with controllers.
const (
	missingInterval        = 100 * time.Millisecond // while a required section is missing
	normalInterval         = 700 * time.Millisecond // repairs lost messages well within the bound for changes
	frozenAfter            = time.Second            // a step that is so late means that the process was frozen
	controllersAfterFreeze = 3                      // asked after that and at the start: some may be partitioned and have old sections
)

// antiEntropy decides when a process sends its digest to controllers, so that they answer with what is newer. Members that
// reach no other member but controllers depend on it.
type antiEntropy struct {
	started bool
	nextAt  time.Duration
}

// due returns how many controllers to ask now, and the time until the next call.
func (a *antiEntropy) due(now time.Duration, lacks bool) (count int, next time.Duration) {
	late := now - a.nextAt
	if late < 0 && (!lacks || -late <= missingInterval) {
		return 0, -late
	}
	next = normalInterval
	if lacks {
		next = missingInterval
	}
	isFresh := !a.started || late > frozenAfter
	a.started, a.nextAt = true, now+next
	if isFresh {
		return controllersAfterFreeze, next
	}
	return 1, next
}

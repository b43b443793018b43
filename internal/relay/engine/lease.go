package engine

import (
	"slices"
	"time"

	"mastusher/control"
)

// awaitLease has an attempt wait until the relay may act, for as long as its time-out.
func (c *Core) awaitLease(attempt *Attempt) {
	attempt.cancel = func() { attempt.progress.CompareAndSwap(attemptPending, attemptRecalled) }
	c.awaitingLease = append(c.awaitingLease, attempt)
}

// takeStartable returns the attempts that have waited for a lease and may begin now; those that were called off, or whose time is over,
// never began.
func (c *Core) takeStartable(now time.Time) (startable []*Attempt) {
	if len(c.awaitingLease) == 0 {
		return nil
	}
	mayAct := c.mayAct(now)
	c.paceAwaiting(now, mayAct)
	waiting := c.awaitingLease[:0]
	for _, attempt := range c.awaitingLease {
		switch {
		case attempt.progress.Load() == attemptRecalled || !now.Before(attempt.scheduledAt.Add(attempt.Timeout)):
			c.endUnstarted(attempt, now)
		case mayAct && !now.Before(attempt.startAfter) && !c.recheck(attempt, now):
		case mayAct && !now.Before(attempt.startAfter):
			startable = append(startable, attempt)
		default:
			waiting = append(waiting, attempt)
		}
	}
	clear(c.awaitingLease[len(waiting):])
	c.awaitingLease = waiting
	return startable
}

// paceAwaiting has the attempts that have waited for a lease go out one by one to partners that are limited by hand: the module has
// decided them at that pace, and all at once they would be more than it.
func (c *Core) paceAwaiting(now time.Time, mayAct bool) {
	next := map[int]time.Time{}
	for _, attempt := range c.awaitingLease {
		limit := c.governor.MostTo(attempt.To.Partner)
		switch {
		case !mayAct || limit == 0:
			attempt.startAfter = time.Time{}
			continue
		case attempt.startAfter.IsZero():
			attempt.startAfter = now
			if at, ok := next[attempt.To.Partner]; ok {
				attempt.startAfter = at.Add(time.Duration(float64(time.Second) * float64(max(c.settings.Peers, 1)) / limit))
			}
		}
		next[attempt.To.Partner] = attempt.startAfter
	}
}

// recheck tells whether an attempt that has waited may begin under the policy that is in force now; otherwise it has ended.
func (c *Core) recheck(attempt *Attempt, now time.Time) bool {
	outcomes := notProcessed(attempt)
	ok := !c.isShut(attempt.To.Partner)
	for i, item := range attempt.Items {
		m := c.messages[item.ref]
		if m == nil {
			continue
		}
		if limit := c.maxAttempts(m.entry); limit > 0 && m.entry.Attempts > limit {
			outcomes[i].Result, ok = control.Rejected, false
		}
	}
	if !ok {
		attemptEnded{attempt, outcomes}.apply(c, now)
	}
	return ok
}

// endUnstarted ends an attempt of which nothing was written.
func (c *Core) endUnstarted(attempt *Attempt, now time.Time) {
	attemptEnded{attempt, notProcessed(attempt)}.apply(c, now)
}

// notProcessed are the outcomes of an attempt of which nothing was written.
func notProcessed(attempt *Attempt) []Outcome {
	return slices.Repeat([]Outcome{{Result: control.NotProcessed}}, len(attempt.Items))
}

package engine

import (
	"slices"
	"time"

	"mastusher/control"
)

// awaitLease queues an attempt until the relay may act, for its time-out at most.
func (c *Core) awaitLease(attempt *Attempt) {
	attempt.cancel = func() { attempt.progress.CompareAndSwap(attemptPending, attemptRecalled) }
	c.awaitingLease = append(c.awaitingLease, attempt)
}

// takeStartable removes and returns the attempts in awaitingLease that may start now. Those that were recalled, have timed out or are no
// longer permitted are ended.
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

// paceAwaiting sets the earliest start of each waiting attempt to a partner whose rate an operator has limited. The module scheduled the
// attempts at that rate; started all at once they would exceed it.
func (c *Core) paceAwaiting(now time.Time, mayAct bool) {
	next := map[int]time.Time{}
	for _, attempt := range c.awaitingLease {
		limit := c.mandate.RateLimitTo(attempt.To.Partner)
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

// recheck reports whether an attempt that has waited may start under the current policy; if not, it ends the attempt.
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

// notProcessed returns the outcomes of an attempt of which nothing was written.
func notProcessed(attempt *Attempt) []Outcome {
	return slices.Repeat([]Outcome{{Result: control.NotProcessed}}, len(attempt.Items))
}

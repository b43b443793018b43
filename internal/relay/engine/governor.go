package engine

import (
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// haltTimeout is how long a submitted message waits while the relay is halted for a change of policy. All relays stop under the old policy
// before any continues under the new one, which takes some milliseconds if all of them answer.
const haltTimeout = 100 * time.Millisecond

// Mandate is what the fleet permits this relay to do; see capture.Mandate.
type Mandate struct {
	capture.Mandate
	Until time.Time // end of the lease, after which the relay may not act; zero if it has no lease
}

// frontMandate is the part of a Mandate that the fronts' goroutines need.
type frontMandate struct {
	until   time.Time
	version uint64
	halted  bool
	changed chan struct{} // closed when another mandate replaces this one
}

// SetMandate puts a mandate in force from the next turn on. done, unless nil, is called by the core's goroutine after that turn, when nothing
// that the mandate forbids is started any more; it must not block. A relay of a fleet must call SetMandate with an empty mandate before
// Restore, since a core without a mandate is not restricted. Calls must not overlap.
func (c *Core) SetMandate(mandate Mandate, done func()) {
	next := &frontMandate{until: mandate.Until, version: mandate.Version, halted: mandate.Halted != 0, changed: make(chan struct{})}
	if before := c.publishedMandate.Swap(next); before != nil {
		close(before.changed)
	}
	c.queue <- mandateChanged{mandate, done}
}

// mandateChanged is the event that puts a mandate in force; done is called after the turn in which that happens.
type mandateChanged struct {
	Mandate
	done func()
}

func (g mandateChanged) apply(core *Core, now time.Time) {
	before := core.mandate
	if before == nil {
		before = &capture.Mandate{}
	}
	mandate := g.Mandate.Mandate
	mandate.Until = 0
	if !g.Mandate.Until.IsZero() {
		mandate.Until = core.moduleTime(g.Mandate.Until)
	}
	core.mandate = &mandate
	if mandate.Version != before.Version {
		core.recordNote(now, "another policy is in force")
	}
	if len(mandate.Worth) > 0 || len(mandate.Quotas) > 0 {
		core.policy.Reconfigure(mandate.Worth, mandate.Quotas)
	}
	if !slices.Equal(mandate.Shut, before.Shut) || !slices.Equal(mandate.Most, before.Most) {
		core.reportLimited(before)
	}
	if mandate.Halted != 0 && mandate.Halted != before.Halted {
		for _, number := range core.inFlightNumbers() { // attempts that have written nothing must not start under the old policy
			core.inFlight[number].recall()
		}
	}
	if g.done != nil {
		core.notifications = append(core.notifications, g.done)
	}
}

// reportLimited reports to the module the destinations of partners whose shutdown or rate limit has changed since the former mandate.
func (c *Core) reportLimited(before *capture.Mandate) {
	listed := control.Event{Kind: control.Listed}
	for _, number := range slices.Sorted(maps.Keys(c.destinations)) {
		d := c.destinations[number]
		if before.Shuts(d.Partner) != c.isShut(d.Partner) || before.RateLimitTo(d.Partner) != c.mandate.RateLimitTo(d.Partner) {
			listed.Endpoints = append(listed.Endpoints, c.moduleEndpoint(number, d))
		}
	}
	if len(listed.Endpoints) == 0 {
		return
	}
	c.moduleEvents = append(c.moduleEvents, listed)
	for _, f := range c.frontsInOrder {
		if f.stopWatch == nil && c.settings.MustSubscribe { // after a list the module assumes an open watch: none is open
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.ListFailed})
			break
		}
	}
}

// isShut reports whether an operator has shut a partner.
func (c *Core) isShut(partner int) bool { return c.mandate.Shuts(partner) }

// mayAct reports whether the relay may accept messages and start attempts.
func (c *Core) mayAct(now time.Time) bool {
	return c.mandate == nil || c.mandate.Halted == 0 && c.mandate.Until != 0 && c.moduleTime(now) < c.mandate.Until
}

// maxAttempts returns how many attempts a message may have: the smaller of the policy's limits when it was accepted and now; 0 if only the
// settings limit them.
func (c *Core) maxAttempts(e *journal.Entry) int {
	limit := e.MaxAttempts
	if c.mandate != nil && e.Class < len(c.mandate.Attempts) {
		if now := c.mandate.Attempts[e.Class]; now > 0 && (limit == 0 || now < limit) {
			limit = now
		}
	}
	return limit
}

// stampPolicy stores in an accepted message's entry the policy version and the attempt limit under which it was accepted.
func (c *Core) stampPolicy(e *journal.Entry) {
	if c.mandate != nil {
		e.PolicyVersion = c.mandate.Version
		e.MaxAttempts = c.maxAttempts(e)
	}
}

// rejectExhausted reports a send to the module as rejected, and returns true, if the policy permits the message no more attempts.
func (c *Core) rejectExhausted(m *message, a control.Action) bool {
	if limit := c.maxAttempts(m.entry); limit == 0 || m.entry.Attempts < limit {
		return false
	}
	c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Resolved, ID: a.ID, Attempt: m.entry.Attempts, Endpoint: a.Endpoint,
		Result: control.Rejected})
	return true
}

// bindToMandate sets the policy version that an attempt carries, and lets it start only before the lease ends.
func (c *Core) bindToMandate(attempt *Attempt) {
	if c.mandate == nil {
		return
	}
	if c.mandate.Stamp {
		attempt.PolicyVersion = c.mandate.Version
	}
	if end := c.fromModuleTime(c.mandate.Until); attempt.WriteBefore.IsZero() || end.Before(attempt.WriteBefore) {
		attempt.WriteBefore = end
	}
}

// admitted reports whether the fleet permits this relay to accept messages. While the relay is halted for a change of policy it waits for
// the end of the halt, for haltTimeout at most. It is called by the fronts' goroutines.
func (c *Core) admitted() bool {
	mandate := c.publishedMandate.Load()
	if mandate == nil {
		return true
	}
	if mandate.halted {
		timeout := time.NewTimer(haltTimeout)
		defer timeout.Stop()
		for mandate.halted {
			select {
			case <-mandate.changed:
				mandate = c.publishedMandate.Load()
			case <-timeout.C:
				return false
			}
		}
	}
	return time.Now().Before(mandate.until)
}

// hasLease reports whether this relay has a lease, or belongs to no fleet. A halt for a change of policy does not count as a
// loss of the lease, so that clients are not sent elsewhere. It may be called from any goroutine.
func (c *Core) hasLease() bool {
	mandate := c.publishedMandate.Load()
	return mandate == nil || time.Now().Before(mandate.until)
}

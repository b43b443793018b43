package engine

import (
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// haltTimeout is how long a message that is submitted while a change of policy takes hold waits for that: all relays stop under the old one
// before any starts under the new one, which takes some milliseconds where all of them answer.
const haltTimeout = 100 * time.Millisecond

// Mandate is what the fleet lets this relay do; see capture.Mandate.
type Mandate struct {
	capture.Mandate
	Until time.Time // end of the lease: the relay may act only before it; zero: it has no lease
}

// frontMandate is a Mandate as the fronts' goroutines see it.
type frontMandate struct {
	until   time.Time
	version uint64
	halted  bool
	changed chan struct{} // closed when another replaces it
}

// Govern puts a mandate in force from the next turn on. done, unless nil, is called by the core's goroutine after that turn and must not
// block: nothing that the mandate forbids is started from then on. A relay of a fleet calls it before Restore with an empty mandate, since
// a core without one acts freely. Calls must not overlap.
func (c *Core) Govern(mandate Mandate, done func()) {
	next := &frontMandate{until: mandate.Until, version: mandate.Version, halted: mandate.Halted != 0, changed: make(chan struct{})}
	if before := c.mandate.Swap(next); before != nil {
		close(before.changed)
	}
	c.queue <- governed{mandate, done}
}

// governed is a mandate that takes hold; done is called after the turn in which it does.
type governed struct {
	Mandate
	done func()
}

func (g governed) apply(core *Core, now time.Time) {
	before := core.governor
	if before == nil {
		before = &capture.Mandate{}
	}
	mandate := g.Mandate.Mandate
	mandate.Until = 0
	if !g.Mandate.Until.IsZero() {
		mandate.Until = core.clock(g.Mandate.Until)
	}
	core.governor = &mandate
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
		for _, number := range core.inFlightNumbers() { // what has written nothing begins nothing under the policy before
			core.inFlight[number].recall()
		}
	}
	if g.done != nil {
		core.notifications = append(core.notifications, g.done)
	}
}

// reportLimited reports to the module the destinations of partners that an operator has shut or limited, or does so no longer.
func (c *Core) reportLimited(before *capture.Mandate) {
	listed := control.Event{Kind: control.Listed}
	for _, number := range slices.Sorted(maps.Keys(c.destinations)) {
		d := c.destinations[number]
		if before.Shuts(d.Partner) != c.isShut(d.Partner) || before.RateLimitTo(d.Partner) != c.governor.RateLimitTo(d.Partner) {
			listed.Endpoints = append(listed.Endpoints, c.moduleEndpoint(number, d))
		}
	}
	if len(listed.Endpoints) == 0 {
		return
	}
	c.moduleEvents = append(c.moduleEvents, listed)
	for _, f := range c.frontsInOrder {
		if f.stopWatch == nil && c.settings.MustSubscribe { // any list ends the module's wait for the watch
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.ListFailed})
			break
		}
	}
}

// isShut reports whether operators have shut a partner.
func (c *Core) isShut(partner int) bool { return c.governor.Shuts(partner) }

// mayAct reports whether the relay may accept messages and start attempts.
func (c *Core) mayAct(now time.Time) bool {
	return c.governor == nil || c.governor.Halted == 0 && c.governor.Until != 0 && c.clock(now) < c.governor.Until
}

// maxAttempts is how many attempts a message may have: the smaller of what was in force when it was accepted and now; 0: as
// many as the settings permit.
func (c *Core) maxAttempts(e *journal.Entry) int {
	limit := e.MaxAttempts
	if c.governor != nil && e.Class < len(c.governor.Attempts) {
		if now := c.governor.Attempts[e.Class]; now > 0 && (limit == 0 || now < limit) {
			limit = now
		}
	}
	return limit
}

// stampPolicy writes into the entry of an accepted message under which policy it was accepted.
func (c *Core) stampPolicy(e *journal.Entry) {
	if c.governor != nil {
		e.PolicyVersion = c.governor.Version
		e.MaxAttempts = c.maxAttempts(e)
	}
}

// rejectExhausted reports to the module that a send is rejected where the policy allows the message no more attempts: false, it may be sent.
func (c *Core) rejectExhausted(m *message, a control.Action) bool {
	if limit := c.maxAttempts(m.entry); limit == 0 || m.entry.Attempts < limit {
		return false
	}
	c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Resolved, ID: a.ID, Attempt: m.entry.Attempts, Endpoint: a.Endpoint,
		Result: control.Rejected})
	return true
}

// bindToMandate gives an attempt the version that it carries, and has it write nothing once the lease is over.
func (c *Core) bindToMandate(attempt *Attempt) {
	if c.governor == nil {
		return
	}
	if c.governor.Stamp {
		attempt.PolicyVersion = c.governor.Version
	}
	if end := c.timeOf(c.governor.Until); attempt.WriteBefore.IsZero() || end.Before(attempt.WriteBefore) {
		attempt.WriteBefore = end
	}
}

// admitted reports, on a front's goroutine, whether the fleet lets this relay accept a message. While a change of policy takes hold it
// waits for that, for haltTimeout at most.
func (c *Core) admitted() bool {
	mandate := c.mandate.Load()
	if mandate == nil {
		return true
	}
	if mandate.halted {
		timeout := time.NewTimer(haltTimeout)
		defer timeout.Stop()
		for mandate.halted {
			select {
			case <-mandate.changed:
				mandate = c.mandate.Load()
			case <-timeout.C:
				return false
			}
		}
	}
	return time.Now().Before(mandate.until)
}

// leased reports whether this relay belongs to no fleet, or has a lease: a change that is about to take hold is no reason to send
// clients elsewhere. It may be called from any goroutine.
func (c *Core) leased() bool {
	mandate := c.mandate.Load()
	return mandate == nil || time.Now().Before(mandate.until)
}

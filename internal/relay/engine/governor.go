package engine

import (
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// haltTimeout is how long a message that is handed in while a change of policy takes hold waits for that: old stops before new
// starts, which takes some milliseconds where all relays are there.
const haltTimeout = 100 * time.Millisecond

// Mandate is what the fleet lets this relay do; see capture.Mandate.
type Mandate struct {
	capture.Mandate
	Until time.Time // it may act before that only
}

// standing is Mandate as the fronts' goroutines see it.
type frontMandate struct {
	until   time.Time
	version uint64
	halted  bool
	changed chan struct{} // closed when another takes its place
}

// Govern has the core act as the fleet lets it from the next turn on; until the first one it acts on nothing. done is called
// after that turn: nothing that the stand forbids is begun from then on.
func (c *Core) Govern(s Mandate, done func()) {
	next := &frontMandate{until: s.Until, version: s.Version, halted: s.Halted != 0, changed: make(chan struct{})}
	if was := c.mandate.Swap(next); was != nil {
		close(was.changed)
	}
	c.queue <- governed{s, done}
}

type governed struct {
	Mandate
	done func()
}

func (g governed) apply(c *Core, now time.Time) {
	was := c.governor
	if was == nil {
		was = &capture.Mandate{}
	}
	s := g.Mandate.Mandate
	s.Until = 0
	if !g.Mandate.Until.IsZero() {
		s.Until = c.clock(g.Mandate.Until)
	}
	c.governor = &s
	if s.Version != was.Version {
		c.recordNote(now, "another policy is in force")
	}
	if len(s.Worth) > 0 || len(s.Quotas) > 0 {
		c.policy.Reconfigure(s.Worth, s.Quotas)
	}
	if !slices.Equal(s.Shut, was.Shut) || !slices.Equal(s.Most, was.Most) {
		c.reportLimited(was)
	}
	if s.Halted != 0 && s.Halted != was.Halted {
		for _, no := range c.inFlightNumbers() { // what has written nothing begins nothing under the policy before
			c.inFlight[no].recall()
		}
	}
	if g.done != nil {
		c.notifications = append(c.notifications, g.done)
	}
}

// reportLimited tells the module of the destinations of partners that were shut or limited by hand, or are no longer.
func (c *Core) reportLimited(was *capture.Mandate) {
	ev := control.Event{Kind: control.Listed}
	numbers := make([]uint32, 0, len(c.destinations))
	for n := range c.destinations {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if d := c.destinations[n]; was.Shuts(d.Partner) != c.isShut(d.Partner) || was.MostTo(d.Partner) != c.governor.MostTo(d.Partner) {
			ev.Endpoints = append(ev.Endpoints, c.moduleEndpoint(n, d))
		}
	}
	if len(ev.Endpoints) == 0 {
		return
	}
	c.moduleEvents = append(c.moduleEvents, ev)
	for _, f := range c.frontsInOrder {
		if f.stopWatch == nil && c.settings.MustSubscribe { // the module takes any word of the list for the end of its asking
			c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.ListFailed})
			break
		}
	}
}

func (c *Core) isShut(partner int) bool { return c.governor.Shuts(partner) }

// mayAct tells whether the relay may take messages on and begin attempts.
func (c *Core) mayAct(now time.Time) bool {
	return c.governor == nil || c.governor.Halted == 0 && c.governor.Until != 0 && c.clock(now) < c.governor.Until
}

// maxAttempts is how many attempts a message may have: the narrower of what was in force when it was taken on and now; 0: as
// many as the settings permit.
func (c *Core) maxAttempts(e *journal.Entry) int {
	most := e.MaxAttempts
	if c.governor != nil && e.Class < len(c.governor.Attempts) {
		if n := c.governor.Attempts[e.Class]; n > 0 && (most == 0 || n < most) {
			most = n
		}
	}
	return most
}

// stampPolicy notes in a message that is taken on under which policy it is.
func (c *Core) stampPolicy(e *journal.Entry) {
	if c.governor != nil {
		e.PolicyVersion = c.governor.Version
		e.MaxAttempts = c.maxAttempts(e)
	}
}

// rejectExhausted tells the module of a send that the policy does not allow: no other attempt would fare better.
func (c *Core) rejectExhausted(m *message, a control.Action) bool {
	if most := c.maxAttempts(m.entry); most == 0 || m.entry.Attempts < most {
		return false
	}
	c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.Resolved, ID: a.ID, Attempt: m.entry.Attempts, Endpoint: a.Endpoint, Result: control.Rejected})
	return true
}

// bindToMandate has an attempt tell its version, and write nothing once the lease is over.
func (c *Core) bindToMandate(s *Attempt) {
	if c.governor == nil {
		return
	}
	if c.governor.Stamp {
		s.PolicyVersion = c.governor.Version
	}
	if end := c.timeOf(c.governor.Until); s.WriteBefore.IsZero() || end.Before(s.WriteBefore) {
		s.WriteBefore = end
	}
}

// admitted tells, on a front's goroutine, whether the fleet lets this relay take a message on. While a change takes hold it
// waits a little for that.
func (c *Core) admitted() bool {
	s := c.mandate.Load()
	if s == nil {
		return true
	}
	if s.halted {
		patience := time.NewTimer(haltTimeout)
		defer patience.Stop()
		for s.halted {
			select {
			case <-s.changed:
				s = c.mandate.Load()
			case <-patience.C:
				return false
			}
		}
	}
	return time.Now().Before(s.until)
}

// leased tells whether this relay belongs to no fleet, or has a lease: a change that is about to take hold is no reason to send
// clients elsewhere.
func (c *Core) leased() bool {
	s := c.mandate.Load()
	return s == nil || time.Now().Before(s.until)
}

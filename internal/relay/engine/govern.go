package engine

import (
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
	"mastusher/internal/relay/journal"
)

// haltWait is how long a message that is handed in while a change of policy takes hold waits for that: old stops before new
// starts, which takes some milliseconds where all relays are there.
const haltWait = 100 * time.Millisecond

// Mandate is what the fleet lets this relay do; see capture.Mandate.
type Mandate struct {
	capture.Mandate
	Until time.Time // it may act before that only
}

// standing is Mandate as the fronts' goroutines see it.
type standing struct {
	until   time.Time
	version uint64
	halted  bool
	changed chan struct{} // closed when another takes its place
}

// Govern has the core act as the fleet lets it from the next turn on; until the first one it acts on nothing. done is called
// after that turn: nothing that the stand forbids is begun from then on.
func (c *Core) Govern(s Mandate, done func()) {
	next := &standing{until: s.Until, version: s.Version, halted: s.Halted != 0, changed: make(chan struct{})}
	if was := c.standing.Swap(next); was != nil {
		close(was.changed)
	}
	c.queue <- governed{s, done}
}

type governed struct {
	Mandate
	done func()
}

func (g governed) apply(c *Core, now time.Time) {
	was := c.gov
	if was == nil {
		was = &capture.Mandate{}
	}
	s := g.Mandate.Mandate
	s.Until = 0
	if !g.Mandate.Until.IsZero() {
		s.Until = c.clock(g.Mandate.Until)
	}
	c.gov = &s
	if s.Version != was.Version {
		c.note(now, "another policy is in force")
	}
	if len(s.Worth) > 0 || len(s.Quotas) > 0 {
		c.mod.Reconfigure(s.Worth, s.Quotas)
	}
	if !slices.Equal(s.Shut, was.Shut) || !slices.Equal(s.Most, was.Most) {
		c.relist(was)
	}
	if s.Halted != 0 && s.Halted != was.Halted {
		for _, no := range c.outs() { // what has written nothing begins nothing under the policy before
			c.out[no].recall()
		}
	}
	if g.done != nil {
		c.tellers = append(c.tellers, g.done)
	}
}

// outs are the numbers of the steps that are out, in order.
func (c *Core) outs() []uint64 {
	all := make([]uint64, 0, len(c.out))
	for no := range c.out {
		all = append(all, no)
	}
	slices.Sort(all)
	return all
}

// relist tells the module of the destinations of partners that were shut or limited by hand, or are no longer.
func (c *Core) relist(was *capture.Mandate) {
	ev := control.Event{Kind: control.Listed}
	numbers := make([]uint32, 0, len(c.dests))
	for n := range c.dests {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		if d := c.dests[n]; was.Shuts(d.Partner) != c.shut(d.Partner) || was.MostTo(d.Partner) != c.gov.MostTo(d.Partner) {
			ev.Endpoints = append(ev.Endpoints, c.listed(n, d))
		}
	}
	if len(ev.Endpoints) == 0 {
		return
	}
	c.in = append(c.in, ev)
	for _, f := range c.order {
		if f.unwatch == nil && c.set.MustSubscribe { // the module takes any word of the list for the end of its asking
			c.in = append(c.in, control.Event{Kind: control.ListFailed})
			break
		}
	}
}

func (c *Core) shut(partner int) bool { return c.gov.Shuts(partner) }

// mayAct tells whether the relay may take messages on and begin attempts.
func (c *Core) mayAct(now time.Time) bool {
	return c.gov == nil || c.gov.Halted == 0 && c.gov.Until != 0 && c.clock(now) < c.gov.Until
}

// allowed is how many attempts a message may have: the narrower of what was in force when it was taken on and now; 0: as
// many as the settings permit.
func (c *Core) allowed(e *journal.Entry) int {
	most := e.MaxAttempts
	if c.gov != nil && e.Class < len(c.gov.Attempts) {
		if n := c.gov.Attempts[e.Class]; n > 0 && (most == 0 || n < most) {
			most = n
		}
	}
	return most
}

// mark notes in a message that is taken on under which policy it is.
func (c *Core) mark(e *journal.Entry) {
	if c.gov != nil {
		e.PolicyVersion = c.gov.Version
		e.MaxAttempts = c.allowed(e)
	}
}

// exhausted tells the module of a send that the policy does not allow: no other attempt would fare better.
func (c *Core) exhausted(m *message, a control.Action) bool {
	if most := c.allowed(m.e); most == 0 || m.e.Attempts < most {
		return false
	}
	c.in = append(c.in, control.Event{Kind: control.Resolved, ID: a.ID, Attempt: m.e.Attempts, Endpoint: a.Endpoint, Result: control.Rejected})
	return true
}

// stall has a step wait until the relay may act, for as long as its time-out.
func (c *Core) stall(s *Attempt) {
	s.cancel = func() { s.begun.CompareAndSwap(0, 2) }
	c.stalled = append(c.stalled, s)
}

// unstall returns the stalled steps that may begin now; those that were called off, or whose time is over, never began.
func (c *Core) unstall(now time.Time) (steps []*Attempt) {
	if len(c.stalled) == 0 {
		return nil
	}
	acts := c.mayAct(now)
	c.line(now, acts)
	keep := c.stalled[:0]
	for _, s := range c.stalled {
		switch {
		case s.begun.Load() == 2 || !now.Before(s.at.Add(s.Timeout)):
			moot := slices.Repeat([]Outcome{{Result: control.NotProcessed}}, len(s.Items))
			stepEnded{s, moot}.apply(c, now)
		case acts && !now.Before(s.from) && !c.stillAllowed(s, now):
		case acts && !now.Before(s.from):
			steps = append(steps, s)
		default:
			keep = append(keep, s)
		}
	}
	clear(c.stalled[len(keep):])
	c.stalled = keep
	return steps
}

// line has the steps that have waited for a lease go out one by one to partners that are limited by hand: the module has decided them
// at that pace, and all at once they would be more than it.
func (c *Core) line(now time.Time, acts bool) {
	next := map[int]time.Time{}
	for _, s := range c.stalled {
		most := c.gov.MostTo(s.To.Partner)
		switch {
		case !acts || most == 0:
			s.from = time.Time{}
			continue
		case s.from.IsZero():
			s.from = now
			if at, ok := next[s.To.Partner]; ok {
				s.from = at.Add(time.Duration(float64(time.Second) * float64(max(c.set.Peers, 1)) / most))
			}
		}
		next[s.To.Partner] = s.from
	}
}

// stillAllowed tells whether a step that has waited may begin under the policy that is in force now; otherwise it is over.
func (c *Core) stillAllowed(s *Attempt, now time.Time) bool {
	outs := slices.Repeat([]Outcome{{Result: control.NotProcessed}}, len(s.Items))
	ok := !c.shut(s.To.Partner)
	for i, it := range s.Items {
		m := c.msgs[it.ref]
		if m == nil {
			continue
		}
		if most := c.allowed(m.e); most > 0 && m.e.Attempts > most {
			outs[i].Result, ok = control.Rejected, false
		}
	}
	if !ok {
		stepEnded{s, outs}.apply(c, now)
	}
	return ok
}

// bind has a step tell its version, and write nothing once the lease is over.
func (c *Core) bind(s *Attempt) {
	if c.gov == nil {
		return
	}
	if c.gov.Stamp {
		s.PolicyVersion = c.gov.Version
	}
	if end := c.at(c.gov.Until); s.WriteBefore.IsZero() || end.Before(s.WriteBefore) {
		s.WriteBefore = end
	}
}

// admitted tells, on a front's goroutine, whether the fleet lets this relay take a message on. While a change takes hold it
// waits a little for that.
func (c *Core) admitted() bool {
	s := c.standing.Load()
	if s == nil {
		return true
	}
	if s.halted {
		patience := time.NewTimer(haltWait)
		defer patience.Stop()
		for s.halted {
			select {
			case <-s.changed:
				s = c.standing.Load()
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
	s := c.standing.Load()
	return s == nil || time.Now().Before(s.until)
}

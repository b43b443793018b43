package engine

import (
	"time"
)

// Run is the core's event loop; it returns after Stop. The calling goroutine owns the core until then. Turns start at multiples of
// Limits.Round, so that events within one interval are decided on together; Run sleeps while nothing is due. Every submission is answered
// until Run returns.
func (c *Core) Run() {
	timer := time.NewTimer(0)
	var events []event
	for {
		events = events[:0]
		timer.Reset(c.IdleFor(time.Now()))
		select {
		case ev := <-c.queue:
			events = append(events, ev)
		case <-timer.C:
		}
		time.Sleep(c.limits.Round - time.Since(c.startedAt)%c.limits.Round)
		events = c.drainQueue(events)
		now := time.Now()
		c.Turn(now, events)
		if c.Done(now) && !c.closed {
			c.closed = true
			close(c.drained)
		}
		if c.stopped {
			return
		}
	}
}

// Step takes one turn with the queued events. It replaces Run for callers with a clock of their own.
func (c *Core) Step(now time.Time) { c.Turn(now, c.drainQueue(nil)) }

// drainQueue appends the queued events to events, without waiting for more.
func (c *Core) drainQueue(events []event) []event {
	for {
		select {
		case ev := <-c.queue:
			events = append(events, ev)
		default:
			return events
		}
	}
}

// IdleFor returns how long no turn is due unless an event is posted: at most a second, and 0 if a turn is due now. It must be called by the
// core's goroutine.
func (c *Core) IdleFor(now time.Time) time.Duration {
	idle := time.Second
	until := func(t time.Time) {
		if !t.IsZero() {
			idle = min(idle, max(t.Sub(now), 0))
		}
	}
	until(c.wakeAt)
	until(c.watchAt)
	for _, f := range c.frontsInOrder {
		if len(f.outstanding) > 0 && f.cancelNotify == nil {
			until(f.retryAt)
		}
	}
	if len(c.moduleEvents) > 0 || len(c.awaitingLease) > 0 || !c.drainAt.IsZero() {
		idle = min(idle, c.limits.Round)
	}
	return idle
}

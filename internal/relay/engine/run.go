package engine

import (
	"time"
)

// Run makes the calling goroutine the core's owner until Stop. It takes turns on a fixed grid of Limits.Round, so that what comes within one
// turn is decided together, and sleeps while nothing is due. Until it returns it answers whatever is submitted.
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

// Step takes one turn with the events that are queued, for callers with a clock of their own in place of Run.
func (c *Core) Step(now time.Time) { c.Turn(now, c.drainQueue(nil)) }

// drainQueue appends the events that are queued.
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

// IdleFor is how long no turn is due unless an event comes: a second at most, 0 where one is due. It belongs to the core's goroutine.
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

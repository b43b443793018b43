package engine

import (
	"slices"
	"time"

	"mastusher/internal/relay/capture"
)

// watch begins a watch for each front that has none.
func (c *Core) watch() {
	c.watchAt = time.Time{}
	for _, f := range c.frontsInOrder {
		if f.stopWatch != nil {
			continue
		}
		f.lastWatch++
		no := f.lastWatch
		f.stopWatch = c.shell.Watch(f.Front, f.listIndex, func(p EndpointList) { c.queue <- listChanged{f, no, p} },
			func(err error) { c.queue <- watchEnded{f, no, err} })
		c.recordAction(capture.Action{Kind: capture.WatchStarted, Number: uint64(f.number), Target: uint32(no), After: f.listIndex})
	}
}

// notify sends the notices owed, one call a front at a time.
func (c *Core) notify(now time.Time) {
	for _, f := range c.frontsInOrder {
		if f.cancelNotify != nil || len(f.outstanding) == 0 || now.Before(f.retryAt) {
			continue
		}
		n := min(len(f.outstanding), c.limits.NoticesPerCall)
		batch := slices.Clone(f.outstanding[:n])
		f.outstanding = slices.Delete(f.outstanding, 0, n)
		f.sending = batch
		c.recordNotices(f)
		f.cancelNotify = c.shell.Notify(f.Front, batch, now.Add(c.limits.NoticeTimeout), func(taken []bool) { c.queue <- notified{f, taken} })
	}
}

// Run is the one goroutine that owns the module. It steps in turns of Limits.Round, on a fixed grid, so that
// what comes within one turn is decided together. It returns after Stop, and until then answers whatever comes.
func (c *Core) Run() {
	timer := time.NewTimer(0)
	var events []event
	for {
		events = events[:0]
		timer.Reset(c.idleFor(time.Now()))
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

// Step takes a turn with what stands in the queue, for those who have a clock of their own in the place of Run.
func (c *Core) Step(now time.Time) { c.Turn(now, c.drainQueue(nil)) }

// SubmitAt is Submit for them: the answer comes in the next Step.
func (c *Core) SubmitAt(front string, m Message, at time.Time) <-chan Reply {
	a := arrival{front: front, msg: m, submittedAt: at, reply: make(chan Reply, 1)}
	c.queue <- a
	return a.reply
}

// IdleFor is how long nothing needs to be done unless something happens.
func (c *Core) IdleFor(now time.Time) time.Duration { return c.idleFor(now) }

// drainQueue takes what stands in the queue.
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

// Done tells whether the core was told to drain and has done so, as far as it may.
func (c *Core) Done(now time.Time) bool {
	return !c.drainAt.IsZero() && (now.Sub(c.drainAt) > c.limits.DrainExit || len(c.messages) == 0 && len(c.inFlight) == 0)
}

// idleFor is how long nothing needs to be done unless something happens.
func (c *Core) idleFor(now time.Time) time.Duration {
	d := time.Second
	until := func(t time.Time) {
		if !t.IsZero() {
			d = min(d, max(t.Sub(now), 0))
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
		d = min(d, c.limits.Round)
	}
	return d
}

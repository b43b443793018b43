package engine

import (
	"slices"
	"time"

	"mastusher/internal/relay/capture"
)

// watch begins a watch for each front that has none.
func (c *Core) watch() {
	c.watchAt = time.Time{}
	for _, f := range c.order {
		if f.unwatch != nil {
			continue
		}
		f.watchNo++
		no := f.watchNo
		f.unwatch = c.shell.Watch(f.Front, f.index, func(p EndpointList) { c.queue <- listChanged{f, no, p} },
			func(err error) { c.queue <- watchEnded{f, no, err} })
		c.did(capture.Action{Kind: capture.Watched, No: uint64(f.no), To: uint32(no), After: f.index})
	}
}

// notify sends the notices owed, one call a front at a time.
func (c *Core) notify(now time.Time) {
	for _, f := range c.order {
		if f.unsend != nil || len(f.owed) == 0 || now.Before(f.retryAt) {
			continue
		}
		n := min(len(f.owed), c.lim.NoticesPerCall)
		batch := slices.Clone(f.owed[:n])
		f.owed = slices.Delete(f.owed, 0, n)
		f.sending = batch
		c.didTell(f)
		f.unsend = c.shell.Notify(f.Front, batch, now.Add(c.lim.NoticeTimeout), func(taken []bool) { c.queue <- notified{f, taken} })
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
		time.Sleep(c.lim.Round - time.Since(c.base)%c.lim.Round)
		events = c.pending(events)
		now := time.Now()
		c.Turn(now, events)
		if c.Done(now) && !c.over {
			c.over = true
			close(c.drained)
		}
		if c.stopped {
			return
		}
	}
}

// Step takes a turn with what stands in the queue, for those who have a clock of their own in the place of Run.
func (c *Core) Step(now time.Time) { c.Turn(now, c.pending(nil)) }

// SubmitAt is Submit for them: the answer comes in the next Step.
func (c *Core) SubmitAt(front string, m Message, at time.Time) <-chan Reply {
	a := arrival{front: front, msg: m, at: at, reply: make(chan Reply, 1)}
	c.queue <- a
	return a.reply
}

// IdleFor is how long nothing needs to be done unless something happens.
func (c *Core) IdleFor(now time.Time) time.Duration { return c.idleFor(now) }

// pending takes what stands in the queue.
func (c *Core) pending(events []event) []event {
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
	return !c.drainAt.IsZero() && (now.Sub(c.drainAt) > c.lim.DrainExit || len(c.msgs) == 0 && len(c.out) == 0)
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
	for _, f := range c.order {
		if len(f.owed) > 0 && f.unsend == nil {
			until(f.retryAt)
		}
	}
	if len(c.in) > 0 || len(c.stalled) > 0 || !c.drainAt.IsZero() {
		d = min(d, c.lim.Round)
	}
	return d
}

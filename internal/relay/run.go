package relay

import (
	"context"
	"slices"
	"time"
)

// watch begins a watch for each front that has none.
func (c *Core) watch() {
	c.watchAt = time.Time{}
	for _, f := range c.order {
		if f.unwatch != nil {
			continue
		}
		var ctx context.Context
		ctx, f.unwatch = context.WithCancel(c.ctx)
		f.watchNo++
		no, after := f.watchNo, f.index
		go func() {
			if err := f.Front.Watch(ctx, after, func(p PoolConfig) { c.queue <- poolChanged{f, p} }); err != nil {
				c.queue <- watchEnded{f, no, err}
			}
		}()
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
		var ctx context.Context
		ctx, f.unsend = context.WithTimeout(c.ctx, c.lim.NoticeTimeout)
		go func() { c.queue <- notified{f, ctx, batch, f.Front.Notify(ctx, batch)} }()
	}
}

// Run is the one goroutine that owns the module. It steps in turns of Limits.Round, on a fixed grid, so that
// what comes within one turn is decided together. It returns after Drain.
func (c *Core) Run() {
	if !c.set.Ask {
		c.watch()
	}
	timer := time.NewTimer(0)
	house := time.Now()
	var events []event
	for {
		events = events[:0]
		timer.Reset(c.nap(time.Now()))
		select {
		case ev := <-c.queue:
			events = append(events, ev)
		case <-timer.C:
		}
		time.Sleep(c.lim.Round - time.Since(c.base)%c.lim.Round)
		for more := true; more; {
			select {
			case ev := <-c.queue:
				events = append(events, ev)
			default:
				more = false
			}
		}
		now := time.Now()
		c.Turn(now, events)
		if now.Sub(house) > time.Second {
			house = now
			for _, f := range c.order {
				f.Front.Retire(nil)
			}
			c.forgetGone(now)
		}
		if !c.drainAt.IsZero() && (now.Sub(c.drainAt) > c.lim.DrainExit || len(c.msgs) == 0 && c.stepsOut == 0) {
			go c.refuse()
			return
		}
	}
}

// refuse answers whoever passed Take's check before Drain and came to the queue after Run's last turn: with
// nobody there it would wait for ever, and its connection would end with no answer.
func (c *Core) refuse() {
	for ev := range c.queue {
		if a, ok := ev.(arrival); ok {
			a.reply <- Reply{Verdict: Busy, Retry: c.lim.BusyRetry}
		}
	}
}

// nap is how long nothing needs to be done unless something happens.
func (c *Core) nap(now time.Time) time.Duration {
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
	if len(c.in) > 0 || !c.drainAt.IsZero() {
		d = min(d, c.lim.Round)
	}
	return d
}

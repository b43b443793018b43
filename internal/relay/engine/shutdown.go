package engine

import "time"

// Drain refuses new messages from now on; see Drained. It may be called from any goroutine, and more than once.
func (c *Core) Drain() {
	c.ready.Store(false)
	c.queue <- drain{}
}

// Drained is closed by Run when all messages in the relay at Drain have ended, or Limits.DrainExit after it.
func (c *Core) Drained() <-chan struct{} { return c.drained }

// Stop has Run return after one more turn. Whoever might still submit something must have ended: nobody would answer.
func (c *Core) Stop() { c.queue <- stop{} }

// drain is the request to accept nothing new.
type drain struct{}

func (drain) apply(core *Core, now time.Time) {
	if !core.drainAt.IsZero() {
		return
	}
	core.drainAt = now
	core.recordNote(now, "the relay drains")
}

// stop is the request to end Run.
type stop struct{}

func (stop) apply(core *Core, _ time.Time) { core.stopped = true }

// Done reports whether Drain took hold and all messages have ended, or Limits.DrainExit has passed since. It belongs to the core's goroutine.
func (c *Core) Done(now time.Time) bool {
	return !c.drainAt.IsZero() && (now.Sub(c.drainAt) > c.limits.DrainExit || len(c.messages) == 0 && len(c.inFlight) == 0)
}

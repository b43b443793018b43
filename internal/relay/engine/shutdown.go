package engine

import "time"

// Drain refuses new messages from now on; see Drained.
func (c *Core) Drain() {
	c.ready.Store(false)
	c.queue <- drain{}
}

// Drained is closed when all messages in the relay at Drain have ended, or at the limit.
func (c *Core) Drained() <-chan struct{} { return c.drained }

// Stop has Run return after one more turn. Whoever might still hand something in must have ended: nobody would answer.
func (c *Core) Stop() { c.queue <- stop{} }

// drain begins the end of the process: nothing new is taken on.
type drain struct{}

func (drain) apply(c *Core, now time.Time) {
	if !c.drainAt.IsZero() {
		return
	}
	c.drainAt = now
	c.recordNote(now, "the relay drains")
}

// stop ends Run.
type stop struct{}

func (stop) apply(c *Core, _ time.Time) { c.stopped = true }

// Done tells whether the core was told to drain and has done so, as far as it may.
func (c *Core) Done(now time.Time) bool {
	return !c.drainAt.IsZero() && (now.Sub(c.drainAt) > c.limits.DrainExit || len(c.messages) == 0 && len(c.inFlight) == 0)
}

package engine

import "time"

// Drain makes the core refuse new messages; see Drained. It may be called from any goroutine, and more than once.
func (c *Core) Drain() {
	c.ready.Store(false)
	c.queue <- drain{}
}

// Drained returns a channel that Run closes when the core is drained; see Done.
func (c *Core) Drained() <-chan struct{} { return c.drained }

// Stop makes Run return after one more turn. Nothing may be submitted after Stop, since it would never be answered.
func (c *Core) Stop() { c.queue <- stop{} }

// drain is the event that starts draining.
type drain struct{}

func (drain) apply(core *Core, now time.Time) {
	if !core.drainAt.IsZero() {
		return
	}
	core.drainAt = now
	core.recordNote(now, "the relay drains")
}

// stop is the event that ends Run.
type stop struct{}

func (stop) apply(core *Core, _ time.Time) { core.stopped = true }

// Done reports whether the core is drained: Drain was called, and all messages have ended or Limits.DrainExit has passed. It must be called
// by the core's goroutine.
func (c *Core) Done(now time.Time) bool {
	return !c.drainAt.IsZero() && (now.Sub(c.drainAt) > c.limits.DrainExit || len(c.messages) == 0 && len(c.inFlight) == 0)
}

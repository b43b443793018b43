package plugin

import (
	"slices"
	"time"

	"mastusher/internal/relay/plugin/gate"
)

// applies reports whether the plug-in handles a phase and the message is within its configured scope.
func (v *version) applies(phase Phase, front string, partner, class int) bool {
	c := &v.cfg
	return v.phases&phase != 0 && (len(c.Fronts) == 0 || slices.Contains(c.Fronts, front)) &&
		(len(c.Partners) == 0 || slices.Contains(c.Partners, partner)) &&
		(len(c.Classes) == 0 || slices.Contains(c.Classes, class))
}

// attempt makes one call, by the deadline and within the plug-in's time-out. Only its caller is blocked meanwhile: the gate
// limits how many instances one partner may use, and refuses calls while a circuit breaker is open.
func (v *version) attempt(c *Call, deadline time.Time) (Outcome, error) {
	latest := time.Now().Add(v.cfg.Timeout)
	if deadline.After(latest) {
		deadline = latest
	}
	return v.attemptUntil(c, deadline)
}

// attemptUntil makes one call as soon as the gate admits it, or fails at the deadline.
func (v *version) attemptUntil(c *Call, deadline time.Time) (Outcome, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		now := time.Now()
		if !now.Before(deadline) {
			return v.skip(ErrBudget)
		}
		v.mu.Lock()
		ticket, verdict := v.gate.Enter(now, c.Partner)
		changed := v.changed
		v.mu.Unlock()
		switch verdict {
		case gate.Admitted:
			return v.send(<-v.idle, c, deadline, ticket)
		case gate.BreakerOpen:
			return v.skip(ErrBreakerOpen)
		case gate.CPUShareUsed:
			return v.skip(ErrCPUShareUsed)
		}
		select {
		case <-changed: // a call ended; a breaker that opened by it refuses this one at once
		case <-timer.C:
			return v.skip(ErrNoInstanceFree)
		}
	}
}

// skip counts a call that was not made and returns err.
func (v *version) skip(err error) (Outcome, error) {
	v.counts.Skipped.Add(1)
	return Outcome{}, err
}

// send passes a call to a worker and waits for its result, until PluginGrace after the deadline. The engine can't interrupt an
// instruction that moves megabytes; such a call is abandoned, and its instance becomes idle again when the call ends.
func (v *version) send(w *worker, c *Call, deadline time.Time, ticket gate.Ticket) (Outcome, error) {
	j := newJob(c, deadline)
	j.ticket = ticket
	w.jobs <- j
	late := time.NewTimer(time.Until(deadline) + v.host.limits.PluginGrace)
	defer late.Stop()
	select {
	case r := <-j.done:
		return r.outcome, r.err
	case <-late.C:
		return Outcome{}, ErrNotStopped
	}
}

// runDeferred makes the deferred calls one after another. It counts as dropped those that fail or are not made.
func (v *version) runDeferred() {
	defer v.deferredDone.Done()
	for c := range v.deferred {
		if v.closing.Load() { // closing must not wait seconds for a slow plug-in to work off the queue
			v.counts.Dropped.Add(1)
			continue
		}
		c.Now = time.Now()
		if _, err := v.attempt(c, c.Now.Add(v.cfg.Timeout)); err != nil {
			v.counts.Dropped.Add(1)
		}
	}
}

// deferCall queues a call whose result no one waits for. If the queue is full the call is dropped and counted.
func (v *version) deferCall(c *Call) {
	select {
	case v.deferred <- c:
	default:
		v.counts.Dropped.Add(1)
	}
}

package plugin

import (
	"slices"
	"time"

	"mastusher/internal/relay/plugin/gate"
)

// applies tells whether a message is within the scope that the configuration gives the plug-in.
func (v *version) applies(phase Phase, front string, partner, class int) bool {
	c := &v.cfg
	return v.phases&phase != 0 && (len(c.Fronts) == 0 || slices.Contains(c.Fronts, front)) &&
		(len(c.Partners) == 0 || slices.Contains(c.Partners, partner)) &&
		(len(c.Classes) == 0 || slices.Contains(c.Classes, class))
}

// attempt makes one call, by the deadline and within the plug-in's time-out. Nothing else waits for it than whoever
// asked: instances, the part of them that one partner may have, and breakers are the gate's to give out.
func (v *version) attempt(c *Call, deadline time.Time) (Outcome, error) {
	latest := time.Now().Add(v.cfg.Timeout)
	if deadline.After(latest) {
		deadline = latest
	}
	return v.attemptUntil(c, deadline)
}

// attemptUntil makes one call as soon as the gate admits it, by the deadline.
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
		case <-changed: // also when a breaker opens: whoever waits hears of it at once
		case <-timer.C:
			return v.skip(ErrNoInstanceFree)
		}
	}
}

// skip counts a call that is not made.
func (v *version) skip(err error) (Outcome, error) {
	v.counts.Skipped.Add(1)
	return Outcome{}, err
}

// send hands a call to a worker. One that can't be stopped, since it is in the middle of an instruction that moves
// megabytes, is left to itself a little after its deadline; its instance comes back when it is done.
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

// runDeferred makes the calls that nobody waits for, one after another. What can't be told in time is dropped and counted.
func (v *version) runDeferred() {
	defer v.deferredDone.Done()
	for c := range v.deferred {
		if v.closing.Load() { // nobody waits for seconds until a slow plug-in has heard everything
			v.counts.Dropped.Add(1)
			continue
		}
		c.Now = time.Now()
		if _, err := v.attempt(c, c.Now.Add(v.cfg.Timeout)); err != nil {
			v.counts.Dropped.Add(1)
		}
	}
}

// deferCall queues a call that nobody waits for, if there is room.
func (v *version) deferCall(c *Call) {
	select {
	case v.deferred <- c:
	default:
		v.counts.Dropped.Add(1)
	}
}

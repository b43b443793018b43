package plugin

import (
	"errors"
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

// attempt makes one call, by the deadline at the latest. Nothing else waits for it than whoever asked: instances, the
// part of them that one partner may have, and breakers are the gate's to give out.
func (v *version) attempt(c *Call, by time.Time) (Outcome, error) {
	now := time.Now()
	if most := now.Add(v.cfg.Timeout); by.After(most) {
		by = most
	}
	return v.attemptBy(c, by)
}

func (v *version) attemptBy(c *Call, by time.Time) (Outcome, error) {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		now := time.Now()
		if !now.Before(by) {
			return v.skip(ErrBudget)
		}
		v.mu.Lock()
		ticket, verdict := v.gate.Enter(now, c.Partner)
		changed := v.changed
		v.mu.Unlock()
		switch verdict {
		case gate.Go:
			return v.send(<-v.idle, c, by, ticket)
		case gate.Open:
			return v.skip(ErrBreakerOpen)
		case gate.Dry:
			return v.skip(ErrCPUShareUsed)
		}
		select {
		case <-changed: // also when a breaker opens: whoever waits hears of it at once
		case <-timer.C:
			return v.skip(ErrNoInstanceFree)
		}
	}
}

func (v *version) skip(err error) (Outcome, error) {
	v.counts.Skipped.Add(1)
	return Outcome{}, err
}

// send hands a call to a worker. One that can't be stopped, since it is in the middle of an instruction that moves
// megabytes, is left to itself a little after its deadline; its instance comes back when it is done.
func (v *version) send(w *worker, c *Call, by time.Time, ticket gate.Ticket) (Outcome, error) {
	j := &job{call: c, deadline: by, ticket: ticket, done: make(chan jobDone, 1)}
	w.jobs <- j
	late := time.NewTimer(time.Until(by) + v.host.limits.PluginGrace)
	defer late.Stop()
	select {
	case d := <-j.done:
		return d.out, d.err
	case <-late.C:
		return Outcome{}, ErrNotStopped
	}
}

// finish is called by a worker that has ended a call: it counts, and makes room for the next.
func (v *version) finish(w *worker, j *job, out Outcome, err error) {
	if j.call.Phase == 0 {
		return
	}
	result := gate.Good
	if err != nil {
		v.counts.Failures.Add(1)
		switch result = gate.Failed; {
		case errors.As(err, new(startError)):
			result = gate.Crashed
		case errors.Is(err, ErrTimeout):
			result = gate.Overran
		}
	}
	v.counts.Calls.Add(1)
	v.counts.Refused.Add(uint64(len(out.Refused)))
	v.counts.CPU.Add(int64(out.CPU))
	now := time.Now()
	v.mu.Lock()
	before := v.gate.Opens(now, j.call.Partner)
	v.gate.Leave(now, j.ticket, out.CPU, result)
	opened := !before && v.gate.Opens(now, j.call.Partner)
	v.idle <- w // has room for all of them
	close(v.changed)
	v.changed = make(chan struct{})
	var logs []string
	for _, text := range out.Logs {
		if v.logLines.take(now, float64(v.host.limits.PluginLines)) {
			logs = append(logs, text)
		}
	}
	warn := err != nil && v.logLines.take(now, float64(v.host.limits.PluginLines))
	v.mu.Unlock()
	for _, text := range logs {
		v.host.log.Info("plug-in log", "plugin", v.cfg.Name, "says", text)
	}
	if warn {
		v.host.log.Warn("plug-in call failed", "plugin", v.cfg.Name, "phase", j.call.Phase.String(), "partner", j.call.Partner,
			"id", j.call.ID, "err", err)
	}
	if opened {
		v.host.log.Warn("plug-in circuit breaker opened", "plugin", v.cfg.Name, "partner", j.call.Partner)
	}
}

// runAfterwards calls the plug-in for what is over, one after another. What can't be told in time is dropped and counted.
func (v *version) runAfterwards() {
	defer v.afterwardsDone.Done()
	for c := range v.afterwards {
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

// enqueueAfterwards puts a call in the line, if there is room.
func (v *version) enqueueAfterwards(c *Call) {
	select {
	case v.afterwards <- c:
	default:
		v.counts.Dropped.Add(1)
	}
}

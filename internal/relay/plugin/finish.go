package plugin

import (
	"errors"
	"time"

	"mastusher/internal/relay/plugin/gate"
)

// finish is called by a worker after a call. It updates the counts, returns the worker to the idle ones, and logs.
func (v *version) finish(w *worker, j *job, result jobResult) {
	if j.call.Phase == phaseStart {
		return
	}
	if result.err != nil {
		v.counts.Failures.Add(1)
	}
	v.counts.Calls.Add(1)
	v.counts.Refused.Add(uint64(len(result.outcome.Refused)))
	v.counts.CPU.Add(int64(result.outcome.CPU))

	now := time.Now()
	v.mu.Lock()
	opened := v.leaveGate(now, j, result)
	v.idle <- w // never blocks: the channel has capacity for all workers
	close(v.changed)
	v.changed = make(chan struct{})
	logs := v.limitLogs(now, result.outcome.Logs)
	warn := result.err != nil && v.allowLog(now)
	v.mu.Unlock()

	for _, text := range logs {
		v.host.log.Info("plug-in log", "plugin", v.cfg.Name, "says", text)
	}
	if warn {
		v.host.log.Warn("plug-in call failed", "plugin", v.cfg.Name, "phase", j.call.Phase.String(), "partner", j.call.Partner,
			"id", j.call.ID, "err", result.err)
	}
	if opened {
		v.host.log.Warn("plug-in circuit breaker opened", "plugin", v.cfg.Name, "partner", j.call.Partner)
	}
}

// leaveGate reports a call's result to the gate, and returns whether that has opened a breaker. The caller holds v.mu.
func (v *version) leaveGate(now time.Time, j *job, result jobResult) (opened bool) {
	before := v.gate.Blocked(now, j.call.Partner)
	v.gate.Leave(now, j.ticket, result.outcome.CPU, gateResult(result.err))
	return !before && v.gate.Blocked(now, j.call.Partner)
}

// gateResult classifies the error of a call for the gate.
func gateResult(err error) gate.Result {
	switch {
	case err == nil:
		return gate.Succeeded
	case errors.As(err, new(startError)):
		return gate.StartFailed
	case errors.Is(err, ErrTimeout):
		return gate.TimedOut
	}
	return gate.Failed
}

// limitLogs returns those of a call's log lines that the rate limit allows. The caller holds v.mu.
func (v *version) limitLogs(now time.Time, logs []string) (allowed []string) {
	for _, text := range logs {
		if v.allowLog(now) {
			allowed = append(allowed, text)
		}
	}
	return allowed
}

// allowLog reports whether the rate limit allows a log line now. The caller holds v.mu.
func (v *version) allowLog(now time.Time) bool {
	return v.logBucket.take(now, float64(v.host.limits.PluginLines))
}

package simulator

import (
	"slices"

	"mastusher/control"
)

// noteOverload starts the overload window of a cold endpoint that has more calls than overloadMultiple times its capacity.
func (r *Run) noteOverload(n int32) {
	e := &r.endpoints[n]
	capacity := r.capacity(e)
	if e.coldSince == 0 || e.overloadedSince != 0 || float64(len(e.serving)+len(e.queued)) <= overloadMultiple*float64(capacity) {
		return
	}
	e.overloadedSince = r.now
	r.schedule(r.now+overloadWindow, eventOverloadCheck, n, 0)
}

// checkOverload collapses a cold endpoint that was overloaded for the whole window; it comes back after overloadRecovery.
func (r *Run) checkOverload(n int32) {
	e := &r.endpoints[n]
	if e.overloadedSince == 0 || r.now-e.overloadedSince < overloadWindow || e.coldSince == 0 || e.down > 0 {
		return
	}
	r.Checker.report(ruleNoColdCollapse, -1, -1, "a cold endpoint collapsed under load")
	r.takeDown(n)
	r.schedule(r.now+overloadRecovery, eventOverloadEnd, n, 0)
}

// takeDown takes an endpoint down and resets all calls that it serves or has queued.
func (r *Run) takeDown(n int32) {
	e := &r.endpoints[n]
	e.down++
	reset := append(slices.Clone(e.serving), e.queued...)
	e.serving, e.queued, e.overloadedSince = e.serving[:0], e.queued[:0], 0
	for _, c := range reset {
		r.respond(c, control.Reset, 0)
	}
}

// bringUp ends one cause of downtime of endpoint n; after the last one the endpoint is up again, and cold.
func (r *Run) bringUp(n int32) {
	e := &r.endpoints[n]
	if e.down--; e.down == 0 {
		e.coldSince, e.overloadedSince = r.now, 0
	}
}

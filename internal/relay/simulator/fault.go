package simulator

import (
	"math/rand/v2"
	"time"

	"mastusher/control"
)

// drawFaultTargets draws the endpoints that fault i affects. It uses a separate generator, so that the fault affects the same endpoints
// whatever the policies decide.
func (r *Run) drawFaultTargets(i int) (targets []int32) {
	fault := &r.World.Faults[i]
	rng := rand.New(rand.NewPCG(r.World.Seed, 100+uint64(i)))
	for n := range r.endpoints {
		e := &r.endpoints[n]
		drawn := rng.Float64() < fault.Share // one draw per endpoint, including those excluded below
		if e.removed || fault.Partners != "" && r.World.Partners[e.group].Name != fault.Partners || fault.Zone > 0 && int(e.zone) != fault.Zone-1 || !drawn {
			continue
		}
		targets = append(targets, int32(n))
	}
	return targets
}

// applyFault starts or ends fault i; a flapping fault does both once per period.
func (r *Run) applyFault(i int, active bool) {
	fault := &r.World.Faults[i]
	r.scheduleFaultChange(i, active)
	switch fault.Kind {
	case FaultTrafficSurge:
		if active {
			r.surgeFactor *= fault.Factor
		} else {
			r.surgeFactor /= fault.Factor
		}
		return
	case FaultIsolateRelays:
		if r.isolatedRelays = fault.Relays; !active {
			r.isolatedRelays = 0
		}
		return
	case FaultRelayCrash:
		for k := range r.relays {
			if fault.Relays != 0 && k >= fault.Relays {
				continue
			}
			if active {
				r.crashRelay(int32(k))
			} else {
				r.restartRelay(int32(k))
			}
		}
		return
	}
	if active { // the end of the fault must affect the same endpoints, even if some have been replaced by then
		r.faultTargets[i] = r.drawFaultTargets(i)
	}
	for _, n := range r.faultTargets[i] {
		switch fault.Kind {
		case FaultDown, FaultDrain, FaultVanish:
			r.applyAvailabilityFault(fault.Kind, n, active)
		default:
			applyCallFault(fault, &r.endpoints[n], active)
		}
	}
}

// scheduleFaultChange schedules the next change of fault i: its end, or the next half of a flapping period.
func (r *Run) scheduleFaultChange(i int, active bool) {
	fault := &r.World.Faults[i]
	end := clockStart + time.Duration(fault.At) + time.Duration(fault.Length)
	if active {
		next := end
		if fault.FlapPeriod > 0 {
			next = min(next, r.now+time.Duration(fault.FlapPeriod)/2)
		}
		r.schedule(next, eventFault, int32(i), 0)
	} else if fault.FlapPeriod > 0 && r.now+time.Duration(fault.FlapPeriod)/2 < end {
		r.schedule(r.now+time.Duration(fault.FlapPeriod)/2, eventFault, int32(i), 1)
	}
}

// applyCallFault starts or ends a fault in how an endpoint answers calls. Faults that throttle, hang or fail are counted, because several
// may overlap.
func applyCallFault(fault *Fault, e *endpoint, active bool) {
	step := -1
	if active {
		step = 1
	}
	switch fault.Kind {
	case FaultThrottle:
		e.throttling += step
		e.retryAfter = fault.RetryAfter
	case FaultHang:
		e.hanging += step
	case FaultError:
		e.failing += step
	case FaultSlow:
		if e.slowFactor, e.slowRelays = fault.Factor, fault.Relays; !active {
			e.slowFactor, e.slowRelays = 1, 0
		}
	case FaultLowerLimit:
		if e.limitFactor = fault.Factor; !active {
			e.limitFactor = 0
		}
	case FaultPartition:
		if e.partitionedRelays = max(fault.Relays, 1); !active {
			e.partitionedRelays = 0
		}
	}
}

// applyAvailabilityFault starts or ends a fault that takes endpoint n down, drains it or removes it. Drained and vanished endpoints get a
// replacement.
func (r *Run) applyAvailabilityFault(kind string, n int32, active bool) {
	switch {
	case kind == FaultDrain && active:
		r.updateList(n, control.Draining)
		r.addReplacement(n)
	case active: // FaultDown, FaultVanish
		r.takeDown(n)
	case kind == FaultDown:
		r.bringUp(n)
	case kind == FaultDrain:
		r.takeDown(n)
		r.endpoints[n].removed = true
		r.updateList(n, control.Removed)
	default: // FaultVanish
		r.endpoints[n].removed = true
		r.updateList(n, control.Removed)
		r.addReplacement(n)
	}
}

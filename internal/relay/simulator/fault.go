package simulator

import (
	"math/rand/v2"
	"time"

	"mastusher/control"
)

// drawFaultTargets draws the endpoints that fault i affects. It has a generator of its own, so that the fault affects the same
// endpoints whatever the policies decide.
func (r *Run) drawFaultTargets(i int) (targets []int32) {
	f := &r.World.Faults[i]
	rng := rand.New(rand.NewPCG(r.World.Seed, 100+uint64(i)))
	for n := range r.endpoints {
		e := &r.endpoints[n]
		drawn := rng.Float64() < f.Share // one draw an endpoint, also for those that are left out
		if e.removed || f.Partners != "" && r.World.Partners[e.group].Name != f.Partners || f.Zone > 0 && int(e.zone) != f.Zone-1 || !drawn {
			continue
		}
		targets = append(targets, int32(n))
	}
	return targets
}

// applyFault begins fault i or ends it; a flapping fault does both once a period.
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
	if active { // its end must reach the same endpoints, whatever has been replaced meanwhile
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

// scheduleFaultChange queues the next change of fault i: its end, or the other half of a flapping period.
func (r *Run) scheduleFaultChange(i int, on bool) {
	f := &r.World.Faults[i]
	end := clockStart + time.Duration(f.At) + time.Duration(f.Length)
	if on {
		next := end
		if f.FlapPeriod > 0 {
			next = min(next, r.now+time.Duration(f.FlapPeriod)/2)
		}
		r.schedule(next, eventFault, int32(i), 0)
	} else if f.FlapPeriod > 0 && r.now+time.Duration(f.FlapPeriod)/2 < end {
		r.schedule(r.now+time.Duration(f.FlapPeriod)/2, eventFault, int32(i), 1)
	}
}

// applyCallFault changes how an endpoint answers calls. Faults of one kind may overlap, so those without a factor are counted.
func applyCallFault(f *Fault, e *endpoint, on bool) {
	step := -1
	if on {
		step = 1
	}
	switch f.Kind {
	case FaultThrottle:
		e.throttling += step
		e.retryAfter = f.RetryAfter
	case FaultHang:
		e.hanging += step
	case FaultError:
		e.failing += step
	case FaultSlow:
		if e.slowFactor, e.slowRelays = f.Factor, f.Relays; !on {
			e.slowFactor, e.slowRelays = 1, 0
		}
	case FaultLowerLimit:
		if e.limitFactor = f.Factor; !on {
			e.limitFactor = 0
		}
	case FaultPartition:
		if e.partitionedRelays = max(f.Relays, 1); !on {
			e.partitionedRelays = 0
		}
	}
}

// applyAvailabilityFault takes endpoint n down, drains it or removes it, with a replacement where its kind has one.
func (r *Run) applyAvailabilityFault(kind string, n int32, on bool) {
	switch {
	case kind == FaultDrain && on:
		r.updateList(n, control.Draining)
		r.addReplacement(n)
	case on: // FaultDown, FaultVanish
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

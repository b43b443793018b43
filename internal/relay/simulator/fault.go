package simulator

import (
	"math/rand/v2"
	"time"

	"mastusher/control"
)

// drawFaultTargets are the endpoints that a trouble befalls: drawn by its own chance, so that it strikes the same ones whatever is
// decided.
func (r *Run) drawFaultTargets(i int) (all []int32) {
	t := &r.World.Faults[i]
	rng := rand.New(rand.NewPCG(r.World.Seed, 100+uint64(i)))
	for n := range r.endpoints {
		e := &r.endpoints[n]
		hit := rng.Float64() < t.Share
		if e.removed || t.Partners != "" && r.World.Partners[e.group].Name != t.Partners || t.Zone > 0 && int(e.zone) != t.Zone-1 || !hit {
			continue
		}
		all = append(all, int32(n))
	}
	return all
}

// applyFault begins or ends, or changes sides where it flaps.
func (r *Run) applyFault(i int, on bool) {
	t := &r.World.Faults[i]
	end := clockStart + time.Duration(t.At) + time.Duration(t.Length)
	if on {
		next := end
		if t.FlapPeriod > 0 {
			next = min(next, r.now+time.Duration(t.FlapPeriod)/2)
		}
		r.queue.push(next, eventFault, int32(i), 0)
	} else if t.FlapPeriod > 0 && r.now+time.Duration(t.FlapPeriod)/2 < end {
		r.queue.push(r.now+time.Duration(t.FlapPeriod)/2, eventFault, int32(i), 1)
	}
	switch t.Kind {
	case FaultTrafficSurge:
		if on {
			r.surgeFactor *= t.Factor
		} else {
			r.surgeFactor /= t.Factor
		}
		return
	case FaultIsolateRelays:
		if r.isolatedRelays = t.Relays; !on {
			r.isolatedRelays = 0
		}
		return
	case FaultRelayCrash:
		for k := range r.relays {
			if t.Relays == 0 || k < t.Relays {
				r.crash(int32(k), on)
			}
		}
		return
	}
	step := -1
	if on {
		step = 1
	}
	if on { // the end befalls the same ones, whatever has been replaced meanwhile
		r.faultTargets[i] = r.drawFaultTargets(i)
	}
	for _, n := range r.faultTargets[i] {
		e := &r.endpoints[n]
		switch t.Kind {
		case FaultThrottle:
			e.throttling += step
			e.retryAfter = t.RetryAfter
		case FaultHang:
			e.hanging += step
		case FaultError:
			e.failing += step
		case FaultSlow:
			if e.slowFactor, e.slowRelays = t.Factor, t.Relays; !on {
				e.slowFactor, e.slowRelays = 1, 0
			}
		case FaultLowerLimit:
			if e.limitFactor = t.Factor; !on {
				e.limitFactor = 0
			}
		case FaultPartition:
			if e.partitionedRelays = max(t.Relays, 1); !on {
				e.partitionedRelays = 0
			}
		case FaultDown:
			if on {
				r.takeDown(n)
			} else {
				r.bringUp(n)
			}
		case FaultDrain:
			if on {
				r.updateList(n, control.Draining)
				r.addReplacement(n)
			} else {
				r.takeDown(n)
				r.endpoints[n].removed = true
				r.updateList(n, control.Removed)
			}
		case FaultVanish:
			if on {
				r.takeDown(n)
				break
			}
			r.endpoints[n].removed = true
			r.updateList(n, control.Removed)
			r.addReplacement(n)
		}
	}
}

// addReplacement puts another endpoint beside one that goes.
func (r *Run) addReplacement(n int32) {
	old := r.endpoints[n]
	e := r.newEndpoint(old.partner, old.group)
	r.endpoints[e].coldSince = r.now
	r.updateList(e, control.Ready)
}

// updateList changes the list, of which relays hear later.
func (r *Run) updateList(n int32, s control.State) {
	r.endpoints[n].listed = s
	r.listUpdates = append(r.listUpdates, control.Event{Kind: control.Listed, Endpoints: []control.Endpoint{r.listedEndpoint(n, s)}})
	for i := range r.relays {
		r.queue.push(r.now+time.Duration(float64(r.World.ListDelay)*(0.5+r.rng.Float64())), eventListUpdate, int32(len(r.listUpdates)-1), int32(i))
	}
}

// crash ends a relay, or starts it again with what its journal holds.
func (r *Run) crash(i int32, on bool) {
	re := &r.relays[i]
	if on == re.down {
		return
	}
	if on {
		re.down, re.nextTurn, re.wakeAt, re.events = true, 0, 0, re.events[:0]
		for n := range r.calls {
			c := &r.calls[n]
			if c.relay != i || c.state != callInFlight && c.state != callUnanswered {
				continue
			}
			msg := &r.messages[c.message]
			if msg.inFlight--; !msg.mayHaveRun {
				msg.mayHaveRun, msg.mayHaveRunAt = true, c.sentAt
			}
			if c.state == callUnanswered {
				r.release(int32(n))
			} else {
				c.state = callAbandoned
			}
		}
		return
	}
	re.down = false
	r.sharing.resetRelay(i)
	durable, knows := re.policy.(DurablePolicy)
	maker := r.factory
	if knows {
		r.factory = durable.Successor()
	}
	err := r.startRelay(i)
	if r.factory = maker; err != nil {
		panic(err) // the same settings have done before
	}
	for id := range r.submissions {
		t := &r.submissions[id]
		msg := &r.messages[t.message]
		if t.relay != i || t.finished || msg.finished {
			continue
		}
		if knows {
			if !durable.Pending(uint64(id + 1)) { // its client never had an answer
				t.finished = true
				r.resubmit(t.message, i, 0)
			}
			continue
		}
		ev := control.Event{Kind: control.Arrived, ID: uint64(id + 1), Destination: int(msg.partner), Class: int(msg.class), Deadline: msg.deadline,
			Resubmitted: true, Attempt: int(t.attempts)}
		if msg.mayHaveRun {
			ev.MayHaveRun, ev.RanAt = true, msg.mayHaveRunAt
		}
		r.notify(i, ev)
	}
}

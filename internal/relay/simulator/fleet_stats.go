package simulator

import (
	"math"
	"slices"
	"time"

	"mastusher/control"
)

// FleetStats measures what all relays did together against what the endpoints allowed.
type FleetStats struct {
	PeakSenderShare       float64 `cbor:"InStep"`  // largest share of the relays that sent in the same turn
	PeakOverload          float64 `cbor:"Over"`    // most calls that came to an endpoint in a second, over what it allowed then; cold ones allow less
	ThrottledPerMessage   float64 `cbor:"Wasted"`  // throttled calls a message
	RecoverySeconds       float64 `cbor:"Regain"`  // s from a fault's end until deliveries reach 90 % of what comes, the longest; -1: never
	SharingBytesPerSecond float64 `cbor:"Shared"`  // bytes a second that a relay which does not lead sends and gets to share limits
	Unfairness            float64 `cbor:"Unequal"` // 1 less Jain's index over the relays' shares delivered; 0: all alike
}

// fleetCounter counts for FleetStats during a run.
type fleetCounter struct {
	turn                              time.Duration
	senders, maxSenders               int       // relays that sent in the turn, and in the fullest
	deliveredBySecond                 []int32   // deliveries, by second
	messagesByRelay, deliveredByRelay []float64 // by relay
}

// recordTurn counts relays that send in the same turn.
func (f *fleetCounter) recordTurn(r *Run, acts []control.Action) {
	if f.turn != r.now {
		f.turn, f.senders = r.now, 0
	}
	if slices.ContainsFunc(acts, func(a control.Action) bool { return a.Kind == control.Send }) {
		f.senders++
		f.maxSenders = max(f.maxSenders, f.senders)
	}
}

// grow extends list with zero values so that it has index i.
func grow[T any](list []T, i int) []T {
	for len(list) <= i {
		var zero T
		list = append(list, zero)
	}
	return list
}

// recordCall counts a call that reached an endpoint, beside what the endpoint allowed in that second.
func (f *fleetCounter) recordCall(r *Run, e *endpoint) {
	limit := r.limit(e)
	if limit == 0 {
		return
	}
	sec := int((r.now - clockStart) / time.Second)
	e.callsBySecond, e.allowedBySecond = grow(e.callsBySecond, sec), grow(e.allowedBySecond, sec)
	e.callsBySecond[sec]++
	if e.coldSince != 0 {
		limit *= float64(r.capacity(e)) / float64(r.World.Partners[e.group].Workers)
	}
	e.allowedBySecond[sec] = max(e.allowedBySecond[sec], limit)
}

// recordOutcome counts an outcome by second and by first relay.
func (f *fleetCounter) recordOutcome(r *Run, m *message, how outcome) {
	n := len(r.relays)
	f.messagesByRelay, f.deliveredByRelay = grow(f.messagesByRelay, n-1), grow(f.deliveredByRelay, n-1)
	f.messagesByRelay[m.firstRelay]++
	if how == outcomeDelivered {
		sec := int((r.now - clockStart) / time.Second)
		f.deliveredBySecond = grow(f.deliveredBySecond, sec)
		f.deliveredBySecond[sec]++
		f.deliveredByRelay[m.firstRelay]++
	}
}

// result sums up, given how many calls were throttled in all.
func (f *fleetCounter) result(run *Run, throttled int) FleetStats {
	res := FleetStats{PeakSenderShare: float64(f.maxSenders) / float64(len(run.relays)), ThrottledPerMessage: float64(throttled) / float64(max(len(run.messages), 1))}
	for i := range run.endpoints {
		e := &run.endpoints[i]
		for sec, n := range e.callsBySecond {
			if e.allowedBySecond[sec] >= 1 {
				res.PeakOverload = max(res.PeakOverload, float64(n)/e.allowedBySecond[sec])
			}
		}
	}
	for _, t := range run.World.Faults {
		if t.Kind == FaultTrafficSurge {
			continue
		}
		from, found := int((time.Duration(t.At)+time.Duration(t.Length))/time.Second), false
		for sec := from; sec < int(time.Duration(run.World.Length)/time.Second) && sec < len(f.deliveredBySecond); sec++ {
			if float64(f.deliveredBySecond[sec]) >= 0.9*run.World.Rate {
				res.RecoverySeconds, found = max(res.RecoverySeconds, float64(sec-from)), true
				break
			}
		}
		if !found {
			res.RecoverySeconds = -1
			break
		}
	}
	res.SharingBytesPerSecond = float64(run.sharing.bytes) / max(time.Duration(run.World.Length).Seconds(), 1) / float64(len(run.relays))
	sum, squares, n := 0.0, 0.0, 0.0
	for i, came := range f.messagesByRelay {
		if came > 0 {
			x := f.deliveredByRelay[i] / came
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	if squares > 0 {
		res.Unfairness = math.Max(0, 1-sum*sum/(n*squares))
	}
	return res
}

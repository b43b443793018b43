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
	relays := float64(len(run.relays))
	return FleetStats{
		PeakSenderShare:       float64(f.maxSenders) / relays,
		PeakOverload:          peakOverload(run.endpoints),
		ThrottledPerMessage:   float64(throttled) / float64(max(len(run.messages), 1)),
		RecoverySeconds:       f.recoverySeconds(run.World),
		Unfairness:            f.unfairness(),
		SharingBytesPerSecond: float64(run.sharing.bytes) / max(time.Duration(run.World.Length).Seconds(), 1) / relays,
	}
}

// peakOverload is the largest ratio of an endpoint's calls in a second to what it allowed in it.
func peakOverload(endpoints []endpoint) (peak float64) {
	for i := range endpoints {
		e := &endpoints[i]
		for second, calls := range e.callsBySecond {
			if e.allowedBySecond[second] >= 1 {
				peak = max(peak, float64(calls)/e.allowedBySecond[second])
			}
		}
	}
	return peak
}

// recoveredShare is the share of the world's rate that is delivered in a second in which the fleet has recovered.
const recoveredShare = 0.9

// recoverySeconds is how long the fleet takes at most to recover after a fault; -1: from one it doesn't.
func (f *fleetCounter) recoverySeconds(world *World) (longest float64) {
	for i := range world.Faults {
		fault := &world.Faults[i]
		if fault.Kind == FaultTrafficSurge {
			continue
		}
		end := int((time.Duration(fault.At) + time.Duration(fault.Length)) / time.Second)
		recovered, ok := f.firstRecoveredSecond(world, end)
		if !ok {
			return -1
		}
		longest = max(longest, float64(recovered-end))
	}
	return longest
}

// firstRecoveredSecond is the first second of the world, from one on, in which the fleet has recovered; false: there is none.
func (f *fleetCounter) firstRecoveredSecond(world *World, from int) (int, bool) {
	end := min(int(time.Duration(world.Length)/time.Second), len(f.deliveredBySecond))
	for second := from; second < end; second++ {
		if float64(f.deliveredBySecond[second]) >= recoveredShare*world.Rate {
			return second, true
		}
	}
	return 0, false
}

// unfairness is 1 less Jain's index of fairness over the shares of their messages that relays delivered.
func (f *fleetCounter) unfairness() float64 {
	sum, squares, relays := 0.0, 0.0, 0.0
	for i, came := range f.messagesByRelay {
		if came > 0 {
			share := f.deliveredByRelay[i] / came
			sum += share
			squares += share * share
			relays++
		}
	}
	if squares == 0 {
		return 0
	}
	return math.Max(0, 1-sum*sum/(relays*squares))
}

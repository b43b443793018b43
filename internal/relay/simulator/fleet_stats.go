package simulator

import (
	"math"
	"slices"
	"time"

	"mastusher/control"
)

// FleetStats compares the combined load of all relays with what the endpoints allowed.
type FleetStats struct {
	PeakSenderShare       float64 `cbor:"InStep"`  // largest share of the relays that sent in the same turn
	PeakOverload          float64 `cbor:"Over"`    // largest ratio of an endpoint's calls in a second to its limit then; cold ones allow less
	ThrottledPerMessage   float64 `cbor:"Wasted"`  // throttled calls per message
	RecoverySeconds       float64 `cbor:"Regain"`  // longest time in s from a fault's end until 90 % of World.Rate is delivered; -1: never
	SharingBytesPerSecond float64 `cbor:"Shared"`  // bytes per second that each relay exchanges with the leader to share limits
	Unfairness            float64 `cbor:"Unequal"` // 1 minus Jain's fairness index over the relays' shares delivered; 0: all are equal
}

// fleetCounter collects the counts for FleetStats during a run.
type fleetCounter struct {
	turn                              time.Duration // time of the last turn
	senders, maxSenders               int           // relays that sent in that turn, and the most that sent in any turn
	deliveredBySecond                 []int32
	messagesByRelay, deliveredByRelay []float64 // by the relay that a message was first submitted to
}

// recordTurn counts the relays that send in the same turn.
func (f *fleetCounter) recordTurn(r *Run, actions []control.Action) {
	if f.turn != r.now {
		f.turn, f.senders = r.now, 0
	}
	if slices.ContainsFunc(actions, func(a control.Action) bool { return a.Kind == control.Send }) {
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

// recordCall counts a call that reached an endpoint, and records what the endpoint allowed in that second.
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

// result returns the statistics of the run; throttled is the total of throttled calls.
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

// peakOverload returns the largest ratio of the calls to an endpoint in a second to what the endpoint allowed in that second.
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

// recoveredShare is the share of World.Rate that must be delivered in a second for the fleet to count as recovered.
const recoveredShare = 0.9

// recoverySeconds returns the longest time that the fleet took to recover after a fault; -1: it did not recover from one. Traffic surges
// do not count.
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

// firstRecoveredSecond returns the first second of the run, starting with from, in which the fleet has recovered; false: there is none.
func (f *fleetCounter) firstRecoveredSecond(world *World, from int) (int, bool) {
	end := min(int(time.Duration(world.Length)/time.Second), len(f.deliveredBySecond))
	for second := from; second < end; second++ {
		if float64(f.deliveredBySecond[second]) >= recoveredShare*world.Rate {
			return second, true
		}
	}
	return 0, false
}

// unfairness returns 1 minus Jain's fairness index over the share of its messages that each relay delivered.
func (f *fleetCounter) unfairness() float64 {
	sum, squares, relays := 0.0, 0.0, 0.0
	for i, messages := range f.messagesByRelay {
		if messages > 0 {
			share := f.deliveredByRelay[i] / messages
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

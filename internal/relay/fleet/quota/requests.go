package quota

import (
	"slices"
	"time"
)

// HandleRequest takes a relay's request. The caller has checked that it is not late, and of the relay's newest incarnation.
func (l *Allocator) HandleRequest(now time.Duration, name string, incarnation uint64, r *Request) {
	relay := l.relays[name]
	if relay == nil {
		if len(l.relays) > 4*len(l.roster)+64 {
			return
		}
		relay = &relayState{name: name, incarnation: incarnation, firstIncarnation: true, target: map[Key]int64{}, bound: map[Key]int64{}}
		l.relays[name] = relay
	}
	if relay.incarnation != incarnation {
		relay.restart(incarnation)
	}
	relay.heardAt = now
	relay.zone = r.Zone
	relay.updateDemands(now, r)
	mine := r.NewestTerm == l.term                                                 // otherwise a grant of a former leader may still be in flight
	if l.options.ServeAlone && !relay.reported && relay.firstIncarnation && mine { // its minimum never expires
		relay.lastingMinimum = max(relay.lastingMinimum, toUnits(fromFloat16(r.Minimum)))
	}
	switch {
	case r.LeaseTerm == l.term && r.LeaseNumber != 0:
		relay.confirm(r.LeaseNumber)
	case !mine:
	case r.LeaseNumber == 0: // it has none
		relay.reported = true
	case !relay.reported && now >= l.startedAt+l.options.LeaseDuration: // its former leases have expired
		relay.reported = true
	case !relay.reported && r.LeasedShares != nil && relay.firstIncarnation:
		relay.reported = true
		l.adoptFormerLease(now, relay, r)
	}
	l.updateBound(relay, now)
}

// restart takes over a new incarnation of a relay. Leases of the former one may still run, and expire by its own clock.
func (relay *relayState) restart(incarnation uint64) {
	relay.formerLeases, relay.leases = append(relay.formerLeases, relay.leases...), nil
	relay.incarnation, relay.reported, relay.firstIncarnation = incarnation, false, false
	relay.lastLease++
}

// updateDemands takes over the demands of a request; one without any, or whose demands can't be decoded, changes nothing.
func (relay *relayState) updateDemands(now time.Duration, r *Request) {
	if r.NoDemand {
		relay.demands, relay.demandsAt = nil, now
		return
	}
	demands, err := DecodeDemands(r.Demands)
	if err != nil || r.Demands == nil {
		return
	}
	relay.demands, relay.demandsAt = map[Key]Demand{}, now
	for _, demand := range demands {
		relay.demands[demand.Key] = demand
	}
}

// confirm records that the lease of that number is in force at the relay, and none before it.
func (relay *relayState) confirm(number uint64) {
	relay.leases = slices.DeleteFunc(relay.leases, func(l lease) bool { return l.number < number })
	relay.reported, relay.confirmedLease = true, number
	if slices.ContainsFunc(relay.leases, func(l lease) bool { return l.number == number }) {
		relay.lastingMinimum = 0
	}
}

// adoptFormerLease takes over the lease that a relay reports from a former leader, until it has surely expired. All leases were
// granted within 1 in all; a report beyond that can't be true and is counted as a contradiction of the relay's. Then nothing of that
// key is available (see available), and all relays fall back to their guaranteed minimums of it until those leases expire.
func (l *Allocator) adoptFormerLease(now time.Duration, relay *relayState, r *Request) {
	shares, err := DecodeKeyShares(r.LeasedShares)
	if err != nil {
		return
	}
	former := lease{minimum: toUnits(fromFloat16(r.Minimum)), shares: map[Key]int64{}, expires: now + l.options.LeaseDuration}
	for _, share := range shares {
		units := toUnits(share.Extra)
		if l.leased[share.Key]+units > unitsPerLimit {
			l.Contradictions[relay.name]++
		}
		former.shares[share.Key] = units
	}
	relay.formerLeases = append(relay.formerLeases, former) // in force there until it has another; it ends when the former lease does
}

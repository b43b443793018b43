package quota

import (
	"slices"
	"time"
)

// HandleRequest handles a relay's request. The caller must have checked that it is not late and is from the relay's newest incarnation.
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
	knowsTerm := r.NewestTerm == l.term                                                           // before that the relay may still accept a grant of a former leader
	if l.options.ServeWhenPartitioned && !relay.reported && relay.firstIncarnation && knowsTerm { // its minimum does not expire
		relay.lastingMinimum = max(relay.lastingMinimum, toUnits(fromFloat16(r.Minimum)))
	}
	switch {
	case r.LeaseTerm == l.term && r.LeaseNumber != 0:
		relay.confirm(r.LeaseNumber)
	case !knowsTerm:
	case r.LeaseNumber == 0: // it has no lease
		relay.reported = true
	case !relay.reported && now >= l.startedAt+l.options.LeaseDuration: // its former leases have expired
		relay.reported = true
	case !relay.reported && r.LeasedShares != nil && relay.firstIncarnation:
		relay.reported = true
		l.adoptFormerLease(now, relay, r)
	}
	l.updateBound(relay, now)
}

// restart replaces the incarnation of a relay. The former incarnation may still run, and use its leases until they expire.
func (relay *relayState) restart(incarnation uint64) {
	relay.formerLeases, relay.leases = append(relay.formerLeases, relay.leases...), nil
	relay.incarnation, relay.reported, relay.firstIncarnation = incarnation, false, false
	relay.lastLease++
}

// updateDemands replaces the demands by those of a request. A request without demands, or with demands that can't be decoded, is ignored.
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

// confirm records that the relay's core has applied the lease with a number in place of all before it.
func (relay *relayState) confirm(number uint64) {
	relay.leases = slices.DeleteFunc(relay.leases, func(l lease) bool { return l.number < number })
	relay.reported, relay.confirmedLease = true, number
	if slices.ContainsFunc(relay.leases, func(l lease) bool { return l.number == number }) {
		relay.lastingMinimum = 0
	}
}

// adoptFormerLease treats the lease that a relay reports from a former term as leased until it has expired. The sum of all former leases
// was at most 1: a report beyond that is wrong and counted as a contradiction of the relay. Until such leases expire, nothing of the key is
// available (see available), and all relays fall back to their guaranteed minimums.
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
	relay.formerLeases = append(relay.formerLeases, former) // the relay may use the former lease until that expires or is replaced
}

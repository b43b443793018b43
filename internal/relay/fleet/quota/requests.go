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
	if relay.incarnation != incarnation { // leases of a former incarnation that may still run expire by its own clock
		relay.formerLeases, relay.leases, relay.incarnation, relay.reported, relay.firstIncarnation, relay.lastLease = append(relay.formerLeases, relay.leases...), nil, incarnation, false, false, relay.lastLease+1
	}
	relay.heardAt = now
	if relay.zone = r.Zone; r.NoDemand {
		relay.demands, relay.demandsAt = nil, now
	} else if needs, err := DecodeDemands(r.Demands); err == nil && r.Demands != nil {
		relay.demands, relay.demandsAt = map[Key]Demand{}, now
		for _, n := range needs {
			relay.demands[n.Key] = n
		}
	}
	mine := r.NewestTerm == l.term                                                 // otherwise a grant of a former leader may still be under way
	if l.options.ServeAlone && !relay.reported && relay.firstIncarnation && mine { // its minimum never expires
		relay.lastingMinimum = max(relay.lastingMinimum, toUnits(fromFloat16(r.Minimum)))
	}
	switch {
	case r.LeaseTerm == l.term && r.LeaseNumber != 0: // it goes by that lease, and by none before
		relay.leases = slices.DeleteFunc(relay.leases, func(o lease) bool { return o.number < r.LeaseNumber })
		if relay.reported, relay.confirmedLease = true, r.LeaseNumber; slices.ContainsFunc(relay.leases, func(o lease) bool { return o.number == r.LeaseNumber }) {
			relay.lastingMinimum = 0
		}
	case !mine:
	case r.LeaseNumber == 0: // it goes by none
		relay.reported = true
	case !relay.reported && now >= l.startedAt+l.options.LeaseDuration: // its former leases have expired
		relay.reported = true
	case !relay.reported && r.LeasedShares != nil && relay.firstIncarnation:
		relay.reported = true
		l.adoptFormerLease(now, relay, r)
	}
	l.updateBound(relay, now)
}

// adoptFormerLease takes over the lease that a relay reports from a former leader, until it has surely expired. All leases were
// granted within 1 in all; a report beyond that can't be true and is counted as a contradiction of the relay's. Then nothing of that
// key is available (see available), and all relays fall back to their guaranteed minimums of it until those leases expire.
func (l *Allocator) adoptFormerLease(now time.Duration, relay *relayState, r *Request) {
	parts, err := DecodeKeyShares(r.LeasedShares)
	if err != nil {
		return
	}
	o := lease{minimum: toUnits(fromFloat16(r.Minimum)), shares: map[Key]int64{}, expires: now + l.options.LeaseDuration}
	for _, p := range parts {
		g := toUnits(p.Extra)
		if l.leased[p.Key]+g > wholeLimit {
			l.Contradictions[relay.name]++
		}
		o.shares[p.Key] = g
	}
	relay.formerLeases = append(relay.formerLeases, o) // it goes by that until it has another; its end is the old lease's
}

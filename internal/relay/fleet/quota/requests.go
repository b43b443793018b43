package quota

import (
	"slices"
	"time"
)

// HandleRequest takes a relay's request. The caller has checked that it is not late, and of the relay's newest incarnation.
func (l *Allocator) HandleRequest(now time.Duration, name string, incarnation uint64, r *Request) {
	h := l.relays[name]
	if h == nil {
		if len(l.relays) > 4*len(l.roster)+64 {
			return
		}
		h = &relayState{name: name, incarnation: incarnation, firstIncarnation: true, target: map[Key]int64{}, bound: map[Key]int64{}}
		l.relays[name] = h
	}
	if h.incarnation != incarnation { // leases of a former incarnation that may still run expire by its own clock
		h.formerLeases, h.leases, h.incarnation, h.reported, h.firstIncarnation, h.lastLease = append(h.formerLeases, h.leases...), nil, incarnation, false, false, h.lastLease+1
	}
	h.heardAt = now
	if h.zone = r.Zone; r.NoDemand {
		h.demands, h.demandsAt = nil, now
	} else if needs, err := DecodeDemands(r.Demands); err == nil && r.Demands != nil {
		h.demands, h.demandsAt = map[Key]Demand{}, now
		for _, n := range needs {
			h.demands[n.Key] = n
		}
	}
	mine := r.NewestTerm == l.term                                         // otherwise a grant of a former leader may still be under way
	if l.options.ServeAlone && !h.reported && h.firstIncarnation && mine { // its minimum never expires
		h.lastingMinimum = max(h.lastingMinimum, toUnits(fromFloat16(r.Minimum)))
	}
	switch {
	case r.LeaseTerm == l.term && r.LeaseNumber != 0: // it goes by that lease, and by none before
		h.leases = slices.DeleteFunc(h.leases, func(o lease) bool { return o.number < r.LeaseNumber })
		if h.reported, h.confirmedLease = true, r.LeaseNumber; slices.ContainsFunc(h.leases, func(o lease) bool { return o.number == r.LeaseNumber }) {
			h.lastingMinimum = 0
		}
	case !mine:
	case r.LeaseNumber == 0: // it goes by none
		h.reported = true
	case !h.reported && now >= l.startedAt+l.options.LeaseDuration: // its former leases have expired
		h.reported = true
	case !h.reported && r.LeasedShares != nil && h.firstIncarnation:
		h.reported = true
		l.adoptFormerLease(now, h, r)
	}
	l.updateBound(h, now)
}

// adoptFormerLease takes over the lease that a relay reports from a former leader, until it has surely expired. All leases were
// granted within 1 in all; a report beyond that can't be true and is counted as a contradiction of the relay's.
func (l *Allocator) adoptFormerLease(now time.Duration, h *relayState, r *Request) {
	parts, err := DecodeKeyShares(r.LeasedShares)
	if err != nil {
		return
	}
	o := lease{minimum: toUnits(fromFloat16(r.Minimum)), shares: map[Key]int64{}, expires: now + l.options.LeaseDuration}
	for _, p := range parts {
		g := toUnits(p.Extra)
		if l.leased[p.Key]+g > wholeLimit {
			l.Contradictions[h.name]++
		}
		o.shares[p.Key] = g
	}
	h.formerLeases = append(h.formerLeases, o) // it goes by that until it has another; its end is the old lease's
}

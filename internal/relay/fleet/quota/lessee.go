package quota

import "time"

// Lessee is the holder's side: what a relay may spend, by its own clock. It is not safe for concurrent use.
type Lessee struct {
	ServeAlone bool // the relay goes on when it is cut off: its guaranteed minimum has no end

	newestTerm   uint64 // the newest allocator that it has heard of
	term, number uint64 // the lease that it goes by; 0: none
	minimum      float64
	shares       []KeyShare
	expires      time.Duration // it may spend the parts before that; the guaranteed minimum for as long as it acts
	reportLeased bool
	confirmed    [2]uint64 // the lease that the core has said it goes by
	demands      []Demand
	requests     int
}

// Lease is what the core is told.
type Lease struct {
	Term, Number uint64 // to be given back once the core goes by it
	Minimum      float64
	Shares       []KeyShare
	Expires      time.Duration // it may be spent before that
	MinimumLasts bool          // but for the guaranteed minimum, which has no end
}

// HandleGrant takes an allotment that came with a lease until a time, and tells what the core is to go by from now on, if that changes.
func (p *Lessee) HandleGrant(until time.Duration, a *Grant) *Lease {
	switch {
	case a == nil || a.Term < p.newestTerm || a.Term == p.term && a.LeaseNumber != 0 && a.LeaseNumber < p.number:
		return nil // of one that led before, or late
	case a.ReportLeased:
		p.newestTerm, p.reportLeased = a.Term, true
		return nil
	case a.LeaseNumber == 0 || !a.HasShares && (a.Term != p.term || a.LeaseNumber != p.number):
		return nil // a lease whose parts have not come
	}
	p.newestTerm = a.Term
	if a.Term != p.term || a.LeaseNumber != p.number { // another lease lasts as long as its own lease
		p.expires = 0
	}
	if a.HasShares {
		parts, err := DecodeKeyShares(a.Shares)
		if err != nil {
			return nil
		}
		p.term, p.number, p.minimum, p.shares = a.Term, a.LeaseNumber, fromFloat16(a.Minimum), parts
	}
	p.reportLeased, p.expires = false, max(p.expires, until)
	return p.Lease()
}

// Lease is what the core is to go by.
func (p *Lessee) Lease() *Lease {
	return &Lease{Term: p.term, Number: p.number, Minimum: p.minimum, Shares: p.shares, Expires: p.expires, MinimumLasts: p.ServeAlone}
}

// Confirm notes that the core goes by a lease, and by none before.
func (p *Lessee) Confirm(by, no uint64) {
	if by == p.term && no == p.number {
		p.confirmed = [2]uint64{by, no}
	}
}

// SetDemands takes what the relay needs now.
func (p *Lessee) SetDemands(all []Demand) { p.demands = all }

// NextRequest returns the request that goes with the next request for the relay's own lease. Demands are sent with every
// second one: a lost one is made up for by the next.
func (p *Lessee) NextRequest(now time.Duration, zone int) *Request {
	r := &Request{LeaseTerm: p.confirmed[0], LeaseNumber: p.confirmed[1], Zone: zone, NewestTerm: p.newestTerm}
	if p.expires <= now { // what it was lent is over
		r.LeaseTerm, r.LeaseNumber = 0, 0
	}
	if p.ServeAlone {
		r.Minimum = toFloat16(p.minimum)
	}
	if p.reportLeased && p.confirmed == [2]uint64{p.term, p.number} && r.LeaseNumber != 0 { // otherwise the core may still go by more
		r.LeasedShares, r.Minimum = EncodeKeyShares(p.shares), toFloat16(p.minimum)
	}
	if p.requests++; p.requests%2 == 0 || p.reportLeased {
		if r.Demands = EncodeDemands(p.demands); len(p.demands) == 0 {
			r.NoDemand = true
		}
	}
	return r
}

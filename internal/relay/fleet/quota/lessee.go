package quota

import "time"

// Lessee is the relay's side of the leases: what it may spend, by its own clock. It is not safe for concurrent use.
type Lessee struct {
	ServeAlone bool // the relay goes on when it is partitioned: its guaranteed minimum has no end

	newestTerm   uint64 // the newest allocator that it has heard of
	term, number uint64 // the lease that it goes by; 0: none
	minimum      float64
	shares       []KeyShare
	expires      time.Duration // of the shares; the guaranteed minimum lasts for as long as the relay acts
	reportLeased bool
	confirmed    [2]uint64 // the lease that the core has said it goes by
	demands      []Demand
	requests     int
}

// Lease is what the core may spend.
type Lease struct {
	Term, Number uint64 // to be given back once the core goes by it
	Minimum      float64
	Shares       []KeyShare
	Expires      time.Duration // it may be spent before that
	MinimumLasts bool          // but for the guaranteed minimum, which has no end
}

// HandleGrant takes a grant whose relay lease ends at until. It returns what the core may spend from now on; nil: as before.
func (p *Lessee) HandleGrant(until time.Duration, a *Grant) *Lease {
	switch {
	case a == nil || a.Term < p.newestTerm || a.Term == p.term && a.LeaseNumber != 0 && a.LeaseNumber < p.number:
		return nil // of a former leader, or late
	case a.ReportLeased:
		p.newestTerm, p.reportLeased = a.Term, true
		return nil
	case a.LeaseNumber == 0 || !a.HasShares && (a.Term != p.term || a.LeaseNumber != p.number):
		return nil // a lease whose shares were not received
	}
	p.newestTerm = a.Term
	if a.Term != p.term || a.LeaseNumber != p.number { // a new lease has an expiry of its own
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

// Lease returns what the core may spend.
func (p *Lessee) Lease() *Lease {
	return &Lease{Term: p.term, Number: p.number, Minimum: p.minimum, Shares: p.shares, Expires: p.expires, MinimumLasts: p.ServeAlone}
}

// Confirm notes that the core goes by a lease, and by none before.
func (p *Lessee) Confirm(by, no uint64) {
	if by == p.term && no == p.number {
		p.confirmed = [2]uint64{by, no}
	}
}

// SetDemands replaces the relay's demands.
func (p *Lessee) SetDemands(all []Demand) { p.demands = all }

// NextRequest returns the request that goes with the next request for the relay's own lease. Demands are sent with every
// second one: a lost one is made up for by the next.
func (p *Lessee) NextRequest(now time.Duration, zone int) *Request {
	r := &Request{LeaseTerm: p.confirmed[0], LeaseNumber: p.confirmed[1], Zone: zone, NewestTerm: p.newestTerm}
	if p.expires <= now { // its lease has expired
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

package quota

import "time"

// Lessee has a relay's quota lease, with times on its own clock. It is not safe for concurrent use: the relay's node.Node owns it.
type Lessee struct {
	ServeWhenPartitioned bool // a partitioned relay keeps spending its guaranteed minimum, which does not expire; must not be changed

	newestTerm   uint64  // newest term of an allocator that sent a grant
	term, number uint64  // of the current lease; 0: none
	minimum      float64 // guaranteed fraction of each limit
	shares       []KeyShare
	expires      time.Duration // end of the shares; with ServeWhenPartitioned the guaranteed minimum does not expire
	reportLeased bool          // the allocator has requested a report of the current lease
	confirmed    [2]uint64     // term and number of the lease that the core has confirmed
	demands      []Demand      // of the core, as last observed
	requests     int           // number of requests made
}

// Lease has the shares that the core may spend.
type Lease struct {
	Term, Number uint64        // for Confirm, once the core has applied the lease
	Minimum      float64       // guaranteed fraction of the limit of each key
	Shares       []KeyShare    // must not be changed
	Expires      time.Duration // end of the lease
	MinimumLasts bool          // the guaranteed minimum does not expire
}

// HandleGrant handles a grant, which may be nil, that came with a relay lease that ends at until. It returns the lease for the core, or nil
// if the core's lease stays: the grant has no lease, is late or from a former leader, or can't be decoded.
func (p *Lessee) HandleGrant(until time.Duration, grant *Grant) *Lease {
	switch {
	case grant == nil || grant.Term < p.newestTerm || grant.Term == p.term && grant.LeaseNumber != 0 && grant.LeaseNumber < p.number:
		return nil // from a former leader, or late
	case grant.ReportLeased:
		p.newestTerm, p.reportLeased = grant.Term, true
		return nil
	case grant.LeaseNumber == 0 || !grant.HasShares && (grant.Term != p.term || grant.LeaseNumber != p.number):
		return nil // a lease whose shares were not received
	}
	p.newestTerm = grant.Term
	if grant.Term != p.term || grant.LeaseNumber != p.number { // a new lease does not inherit the expiry
		p.expires = 0
	}
	if grant.HasShares {
		shares, err := DecodeKeyShares(grant.Shares)
		if err != nil {
			return nil
		}
		p.term, p.number, p.minimum, p.shares = grant.Term, grant.LeaseNumber, fromFloat16(grant.Minimum), shares
	}
	p.reportLeased, p.expires = false, max(p.expires, until)
	return p.Lease()
}

// Lease returns the current lease.
func (p *Lessee) Lease() *Lease {
	return &Lease{Term: p.term, Number: p.number, Minimum: p.minimum, Shares: p.shares, Expires: p.expires, MinimumLasts: p.ServeWhenPartitioned}
}

// Confirm records that the core has applied a lease in place of all before it.
func (p *Lessee) Confirm(term, number uint64) {
	if term == p.term && number == p.number {
		p.confirmed = [2]uint64{term, number}
	}
}

// SetDemands replaces the relay's demands. The caller must not change them afterwards.
func (p *Lessee) SetDemands(all []Demand) { p.demands = all }

// NextRequest returns the request to be sent with the next request for the relay lease. Every second one has the demands, so that a lost
// one is soon replaced.
func (p *Lessee) NextRequest(now time.Duration, zone int) *Request {
	r := &Request{LeaseTerm: p.confirmed[0], LeaseNumber: p.confirmed[1], Zone: zone, NewestTerm: p.newestTerm}
	if p.expires <= now { // the lease has expired
		r.LeaseTerm, r.LeaseNumber = 0, 0
	}
	if p.ServeWhenPartitioned {
		r.Minimum = toFloat16(p.minimum)
	}
	if p.reportLeased && p.confirmed == [2]uint64{p.term, p.number} && r.LeaseNumber != 0 { // before that the core may still spend more
		r.LeasedShares, r.Minimum = EncodeKeyShares(p.shares), toFloat16(p.minimum)
	}
	if p.requests++; p.requests%2 == 0 || p.reportLeased {
		if r.Demands = EncodeDemands(p.demands); len(p.demands) == 0 {
			r.NoDemand = true
		}
	}
	return r
}

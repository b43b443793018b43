package quota

import "time"

// Lessee is the relay's side of the leases: what it may spend, by its own clock. It is not safe for concurrent use: the relay's node.Node owns it.
type Lessee struct {
	ServeAlone bool // the relay goes on when it is partitioned: its guaranteed minimum does not expire; must not be changed

	newestTerm   uint64  // term of the newest allocator that it has heard of
	term, number uint64  // the lease that it has; 0: none
	minimum      float64 // of 1, guaranteed
	shares       []KeyShare
	expires      time.Duration // of the shares; the guaranteed minimum lasts for as long as the relay acts
	reportLeased bool          // the allocator has asked for the lease that it has
	confirmed    [2]uint64     // term and number of the lease that the core has confirmed
	demands      []Demand      // of the core, as observed last
	requests     int           // that were made
}

// Lease is what the core may spend.
type Lease struct {
	Term, Number uint64        // for Confirm, once it is in force at the core
	Minimum      float64       // guaranteed share of each key, of 1
	Shares       []KeyShare    // must not be changed
	Expires      time.Duration // it may be spent before that
	MinimumLasts bool          // but for the guaranteed minimum, which has no end
}

// HandleGrant takes a grant whose relay lease ends at until; nil: the answer had none. It returns what the core may spend from now on; nil: what
// it may spend does not change, since the grant is of a former leader, late, or can't be decoded.
func (p *Lessee) HandleGrant(until time.Duration, grant *Grant) *Lease {
	switch {
	case grant == nil || grant.Term < p.newestTerm || grant.Term == p.term && grant.LeaseNumber != 0 && grant.LeaseNumber < p.number:
		return nil // of a former leader, or late
	case grant.ReportLeased:
		p.newestTerm, p.reportLeased = grant.Term, true
		return nil
	case grant.LeaseNumber == 0 || !grant.HasShares && (grant.Term != p.term || grant.LeaseNumber != p.number):
		return nil // a lease whose shares were not received
	}
	p.newestTerm = grant.Term
	if grant.Term != p.term || grant.LeaseNumber != p.number { // a new lease has an expiry of its own
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

// Lease returns what the core may spend.
func (p *Lessee) Lease() *Lease {
	return &Lease{Term: p.term, Number: p.number, Minimum: p.minimum, Shares: p.shares, Expires: p.expires, MinimumLasts: p.ServeAlone}
}

// Confirm reports that a lease is in force at the core, and none before it.
func (p *Lessee) Confirm(term, number uint64) {
	if term == p.term && number == p.number {
		p.confirmed = [2]uint64{term, number}
	}
}

// SetDemands replaces the relay's demands, which must not be changed afterwards.
func (p *Lessee) SetDemands(all []Demand) { p.demands = all }

// NextRequest returns the request that goes with the next request for the relay's own lease. Demands are sent with every second one: a lost
// one is replaced by the next.
func (p *Lessee) NextRequest(now time.Duration, zone int) *Request {
	r := &Request{LeaseTerm: p.confirmed[0], LeaseNumber: p.confirmed[1], Zone: zone, NewestTerm: p.newestTerm}
	if p.expires <= now { // the lease has expired
		r.LeaseTerm, r.LeaseNumber = 0, 0
	}
	if p.ServeAlone {
		r.Minimum = toFloat16(p.minimum)
	}
	if p.reportLeased && p.confirmed == [2]uint64{p.term, p.number} && r.LeaseNumber != 0 { // otherwise the core may still spend more
		r.LeasedShares, r.Minimum = EncodeKeyShares(p.shares), toFloat16(p.minimum)
	}
	if p.requests++; p.requests%2 == 0 || p.reportLeased {
		if r.Demands = EncodeDemands(p.demands); len(p.demands) == 0 {
			r.NoDemand = true
		}
	}
	return r
}

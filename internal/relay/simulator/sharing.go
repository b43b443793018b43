package simulator

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/fleet/quota"
)

// Sharing configures how relays share rate limits: with the daemon's own quota.Allocator and quota.Lessee, over a network that delays
// and loses messages.
type Sharing struct {
	GuaranteedShare float64 // of each limit, guaranteed to the relays without a lease; 0 to 1
	Lease           Duration
	ClockDrift      float64
	Delay           Duration // of a message: this up to twice this
	Loss            float64  // share of messages
	ServeAlone      bool     // partitioned relays continue with their guaranteed share; otherwise they stop sending
}

// DefaultSharing is the configuration of a fleet on one site.
func DefaultSharing() Sharing {
	return Sharing{GuaranteedShare: 0.25, Lease: Duration(2 * time.Second), ClockDrift: 0.01, Delay: Duration(2 * time.Millisecond), Loss: 0.01, ServeAlone: true}
}

// SharingPolicy is a policy that reports what it observes of its routes, from which demands are made.
type SharingPolicy interface {
	Observations(now time.Duration, out []control.Observation) []control.Observation
}

// limitSharing is the state of all relays' sharing. One relay leads; when it is down or partitioned, the next request finds another
// leader, which grants nothing before electionDuration has passed.
type limitSharing struct {
	Sharing
	enabled         bool
	allocator       *quota.Allocator
	leader          int32
	term            uint64
	leadershipStart time.Duration // nobody leads before
	lessees         []*quota.Lessee
	incarnations    []uint64
	endpointsByKey  []map[quota.Key]uint32
	relayNames      []string
	envelopes       []envelope
	freeEnvelopes   []int32
	bytes           int64
}

// envelope is a message in transit between relays; slots are reused.
type envelope struct {
	relay       int32
	incarnation uint64
	sentAt      time.Duration // of the request, from which the lease is counted
	request     *quota.Request
	grant       *quota.Grant
}

const (
	requestsPerLease     = 8
	electionDuration     = time.Second
	messageOverheadBytes = 28 + 12 + 60 // of a ping or its answer, without what is shared
)

// EnableSharing has the relays share limits from the beginning. It must be called before Execute; policies that are no SharingPolicy take
// no part.
func (r *Run) EnableSharing(s Sharing) {
	x := &r.sharing
	x.Sharing, x.enabled, x.term, x.leadershipStart = s, true, 1, r.now
	for i := range r.relays {
		x.lessees, x.incarnations, x.endpointsByKey = append(x.lessees, &quota.Lessee{ServeAlone: s.ServeAlone}), append(x.incarnations, 1), append(x.endpointsByKey, nil)
		x.relayNames = append(x.relayNames, string([]byte{'r', byte('0' + i/1000%10), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)}))
		r.schedule(r.now+time.Duration(i)*time.Duration(s.Lease)/time.Duration(requestsPerLease*len(r.relays)), eventQuotaPing, int32(i), 0)
	}
}

// resetRelay has a restarted relay forget its lease, under a new incarnation.
func (x *limitSharing) resetRelay(i int32) {
	if x.enabled {
		x.lessees[i] = &quota.Lessee{ServeAlone: x.ServeAlone}
		x.incarnations[i]++
	}
}

func (x *limitSharing) send(r *Run, p envelope, do eventKind) {
	x.bytes += messageOverheadBytes
	if r.rng.Float64() < x.Loss || r.isolated(p.relay) {
		return
	}
	n := int32(len(x.envelopes))
	if k := len(x.freeEnvelopes); k > 0 {
		n, x.freeEnvelopes = x.freeEnvelopes[k-1], x.freeEnvelopes[:k-1]
		x.envelopes[n] = p
	} else {
		x.envelopes = append(x.envelopes, p)
	}
	r.schedule(r.now+time.Duration(float64(x.Delay)*(1+r.rng.Float64())), do, n, 0)
}

func (x *limitSharing) take(n int32) envelope {
	p := x.envelopes[n]
	x.envelopes[n] = envelope{}
	x.freeEnvelopes = append(x.freeEnvelopes, n)
	return p
}

// isolated reports whether a relay is partitioned from the others now.
func (r *Run) isolated(i int32) bool { return int(i) < r.isolatedRelays }

// sendQuotaRequest sends a relay's demands to the leader and asks it to renew the lease.
func (r *Run) sendQuotaRequest(i int32) {
	sharing := &r.sharing
	r.schedule(r.now+time.Duration(sharing.Lease)/requestsPerLease, eventQuotaPing, i, 0)
	p, ok := r.relays[i].policy.(SharingPolicy)
	if r.relays[i].down || !ok {
		return
	}
	var needs []quota.Demand
	sharing.endpointsByKey[i] = map[quota.Key]uint32{}
	for _, s := range p.Observations(r.now, nil) {
		if s.Endpoint == 0 {
			continue
		}
		e := &r.endpoints[s.Endpoint-1]
		k := quota.Key(1<<20 + e.partner)
		if s.SeparateRoute {
			k = quota.Key(s.Endpoint)
		}
		n := quota.Demand{Key: k, Rate: s.Demand, Value: s.Value, Limit: s.Limit, LimitAge: s.LimitAge, StateAge: s.HealthAge, Wait: s.RetryAfter}
		switch {
		case s.Unhealthy:
			n.State = quota.Down
		case s.Healthy:
			n.State = quota.Healthy
		}
		if len(needs) < quota.MaxKeys {
			needs, sharing.endpointsByKey[i][k] = append(needs, n), s.Endpoint
		}
	}
	sharing.lessees[i].SetDemands(needs)
	report := sharing.lessees[i].NextRequest(r.now, int(i)%r.World.Net.Zones)
	sharing.bytes += int64(len(report.Demands) + len(report.LeasedShares) + 20)
	sharing.send(r, envelope{relay: i, incarnation: sharing.incarnations[i], sentAt: r.now, request: report}, eventQuotaRequest)
}

// handleQuotaRequest has the leader take a request and answer it with a grant.
func (r *Run) handleQuotaRequest(n int32) {
	sharing := &r.sharing
	p := sharing.take(n)
	if r.relays[sharing.leader].down || r.isolated(sharing.leader) { // another comes to lead
		sharing.allocator = nil
		for i := range r.relays {
			if !r.relays[i].down && !r.isolated(int32(i)) {
				sharing.leader, sharing.leadershipStart = int32(i), r.now+electionDuration
				sharing.term++
				break
			}
		}
	}
	if r.now < sharing.leadershipStart || r.relays[sharing.leader].down {
		return
	}
	if sharing.allocator == nil {
		over := time.Duration(float64(sharing.Lease)*(1+sharing.ClockDrift)) + time.Millisecond
		sharing.allocator = quota.NewAllocator(quota.Options{MinimumSum: sharing.GuaranteedShare, LeaseDuration: over, ServeAlone: sharing.ServeAlone}, sharing.term, r.now)
		sharing.allocator.SetRoster(sharing.relayNames)
	}
	sharing.allocator.HandleRequest(r.now, sharing.relayNames[p.relay], p.incarnation, p.request)
	a := sharing.allocator.Grant(r.now, r.now, sharing.relayNames[p.relay])
	if a == nil {
		return
	}
	sharing.bytes += int64(len(a.Shares) + 10)
	sharing.send(r, envelope{relay: p.relay, incarnation: p.incarnation, sentAt: p.sentAt, grant: a}, eventQuotaGrant)
}

// handleQuotaGrant has a relay take a grant.
func (r *Run) handleQuotaGrant(n int32) {
	x := &r.sharing
	p := x.take(n)
	if r.relays[p.relay].down || p.incarnation != x.incarnations[p.relay] {
		return
	}
	s := x.lessees[p.relay].HandleGrant(p.sentAt+time.Duration(float64(x.Lease)*(1-x.ClockDrift)), p.grant)
	if s == nil {
		return
	}
	out := &control.SharedLimits{GuaranteedShare: s.Minimum, LeaseExpiry: s.Expires, KeepsGuaranteed: s.MinimumLasts}
	for _, part := range s.Shares {
		if e, ok := x.endpointsByKey[p.relay][part.Key]; ok {
			out.Grants = append(out.Grants, control.Grant{Endpoint: e, ExtraShare: part.Extra, Limit: part.Limit, LimitAge: part.LimitAge, Unhealthy: part.State == quota.Down,
				Healthy: part.State == quota.Healthy, HealthAge: part.StateAge, RetryAfter: part.Wait, MayProbe: part.MayProbe})
		}
	}
	r.notify(p.relay, control.Event{Kind: control.SharedLimitsUpdated, Shared: out})
	x.lessees[p.relay].Confirm(s.Term, s.Number) // its turn comes before anything that it says
}

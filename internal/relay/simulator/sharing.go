package simulator

import (
	"time"

	"mastusher/control"
	"mastusher/internal/relay/fleet/quota"
)

// Sharing configures how relays share rate limits: through the daemon's own quota.Allocator and quota.Lessee, over a network that delays
// and loses messages.
type Sharing struct {
	GuaranteedShare float64 // share of each limit that all relays together may use without a lease; 0 to 1
	Lease           Duration
	ClockDrift      float64  // maximum relative drift of a relay's clock
	Delay           Duration // of a message; drawn between this and twice this
	Loss            float64  // share of messages that are lost
	ServeAlone      bool     // partitioned relays continue with their guaranteed share; otherwise they stop sending
}

// DefaultSharing returns the configuration of a fleet on one site.
func DefaultSharing() Sharing {
	return Sharing{GuaranteedShare: 0.25, Lease: Duration(2 * time.Second), ClockDrift: 0.01, Delay: Duration(2 * time.Millisecond), Loss: 0.01, ServeAlone: true}
}

// SharingPolicy is a policy that reports what it observes of its routes; the relay's demands are made from this.
type SharingPolicy interface {
	Observations(now time.Duration, out []control.Observation) []control.Observation
}

// limitSharing is the state of all relays' sharing. One relay leads; when it is down or partitioned, the next request elects another
// leader, which grants nothing before electionDuration has passed.
type limitSharing struct {
	Sharing
	enabled         bool
	allocator       *quota.Allocator
	leader          int32
	term            uint64
	leadershipStart time.Duration   // the leader grants nothing before this time
	lessees         []*quota.Lessee // by relay, as are the three fields below
	incarnations    []uint64
	endpointsByKey  []map[quota.Key]uint32
	relayNames      []string
	envelopes       []envelope
	freeEnvelopes   []int32
	bytes           int64 // size of all messages sent
}

// envelope is a message in transit between a relay and the leader. Slots of limitSharing.envelopes are reused.
type envelope struct {
	relay       int32 // sender of a request, or receiver of a grant
	incarnation uint64
	sentAt      time.Duration // when the request was sent, from which the lease counts
	request     *quota.Request
	grant       *quota.Grant
}

const (
	requestsPerLease     = 8
	electionDuration     = time.Second
	messageOverheadBytes = 28 + 12 + 60 // size of a request or response without the shared data
)

// EnableSharing makes the relays share limits from the start. It must be called before Execute; relays whose policy is not a
// SharingPolicy take no part.
func (r *Run) EnableSharing(config Sharing) {
	state := &r.sharing
	state.Sharing, state.enabled, state.term, state.leadershipStart = config, true, 1, r.now
	for i := range r.relays {
		state.lessees, state.incarnations, state.endpointsByKey = append(state.lessees, &quota.Lessee{ServeWhenPartitioned: config.ServeAlone}), append(state.incarnations, 1), append(state.endpointsByKey, nil)
		state.relayNames = append(state.relayNames, string([]byte{'r', byte('0' + i/1000%10), byte('0' + i/100%10), byte('0' + i/10%10), byte('0' + i%10)}))
		r.schedule(r.now+time.Duration(i)*time.Duration(config.Lease)/time.Duration(requestsPerLease*len(r.relays)), eventQuotaRequestDue, int32(i), 0)
	}
}

// resetRelay drops a restarted relay's lease and gives the relay a new incarnation.
func (s *limitSharing) resetRelay(i int32) {
	if s.enabled {
		s.lessees[i] = &quota.Lessee{ServeWhenPartitioned: s.ServeAlone}
		s.incarnations[i]++
	}
}

// send schedules the arrival of an envelope, unless it is lost.
func (s *limitSharing) send(r *Run, env envelope, kind eventKind) {
	s.bytes += messageOverheadBytes
	if r.rng.Float64() < s.Loss || r.isolated(env.relay) {
		return
	}
	n := int32(len(s.envelopes))
	if k := len(s.freeEnvelopes); k > 0 {
		n, s.freeEnvelopes = s.freeEnvelopes[k-1], s.freeEnvelopes[:k-1]
		s.envelopes[n] = env
	} else {
		s.envelopes = append(s.envelopes, env)
	}
	r.schedule(r.now+time.Duration(float64(s.Delay)*(1+r.rng.Float64())), kind, n, 0)
}

// take returns envelope n and frees its slot.
func (s *limitSharing) take(n int32) envelope {
	env := s.envelopes[n]
	s.envelopes[n] = envelope{}
	s.freeEnvelopes = append(s.freeEnvelopes, n)
	return env
}

// isolated reports whether relay i is partitioned from the other relays now.
func (r *Run) isolated(i int32) bool { return int(i) < r.isolatedRelays }

// sendQuotaRequest sends a relay's demands to the leader, which also asks for a renewal of the lease.
func (r *Run) sendQuotaRequest(i int32) {
	sharing := &r.sharing
	r.schedule(r.now+time.Duration(sharing.Lease)/requestsPerLease, eventQuotaRequestDue, i, 0)
	sharingPolicy, ok := r.relays[i].policy.(SharingPolicy)
	if r.relays[i].down || !ok {
		return
	}
	var demands []quota.Demand
	sharing.endpointsByKey[i] = map[quota.Key]uint32{}
	for _, observed := range sharingPolicy.Observations(r.now, nil) {
		if observed.Endpoint == 0 {
			continue
		}
		e := &r.endpoints[observed.Endpoint-1]
		key := quota.Key(1<<20 + e.partner)
		if observed.SeparateRoute {
			key = quota.Key(observed.Endpoint)
		}
		demand := quota.Demand{Key: key, Rate: observed.Demand, Value: observed.Value, Limit: observed.Limit, LimitAge: observed.LimitAge, StateAge: observed.HealthAge, Wait: observed.RetryAfter}
		switch {
		case observed.Unhealthy:
			demand.State = quota.Down
		case observed.Healthy:
			demand.State = quota.Healthy
		}
		if len(demands) < quota.MaxKeys {
			demands, sharing.endpointsByKey[i][key] = append(demands, demand), observed.Endpoint
		}
	}
	sharing.lessees[i].SetDemands(demands)
	quotaRequest := sharing.lessees[i].NextRequest(r.now, int(i)%r.World.Net.Zones)
	sharing.bytes += int64(len(quotaRequest.Demands) + len(quotaRequest.LeasedShares) + 20)
	sharing.send(r, envelope{relay: i, incarnation: sharing.incarnations[i], sentAt: r.now, request: quotaRequest}, eventQuotaRequest)
}

// handleQuotaRequest handles a request at the leader and answers it with a grant.
func (r *Run) handleQuotaRequest(n int32) {
	sharing := &r.sharing
	env := sharing.take(n)
	if r.relays[sharing.leader].down || r.isolated(sharing.leader) { // elect another leader
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
		maxLease := time.Duration(float64(sharing.Lease)*(1+sharing.ClockDrift)) + time.Millisecond
		sharing.allocator = quota.NewAllocator(quota.Options{MinimumSum: sharing.GuaranteedShare, LeaseDuration: maxLease, ServeWhenPartitioned: sharing.ServeAlone}, sharing.term, r.now)
		sharing.allocator.SetRoster(sharing.relayNames)
	}
	sharing.allocator.HandleRequest(r.now, sharing.relayNames[env.relay], env.incarnation, env.request)
	newGrant := sharing.allocator.Grant(r.now, r.now, sharing.relayNames[env.relay])
	if newGrant == nil {
		return
	}
	sharing.bytes += int64(len(newGrant.Shares) + 10)
	sharing.send(r, envelope{relay: env.relay, incarnation: env.incarnation, sentAt: env.sentAt, grant: newGrant}, eventQuotaGrant)
}

// handleQuotaGrant handles a grant at its relay.
func (r *Run) handleQuotaGrant(n int32) {
	state := &r.sharing
	env := state.take(n)
	if r.relays[env.relay].down || env.incarnation != state.incarnations[env.relay] {
		return
	}
	lease := state.lessees[env.relay].HandleGrant(env.sentAt+time.Duration(float64(state.Lease)*(1-state.ClockDrift)), env.grant)
	if lease == nil {
		return
	}
	shared := &control.SharedLimits{GuaranteedShare: lease.Minimum, LeaseExpiry: lease.Expires, KeepsGuaranteed: lease.MinimumLasts}
	for _, share := range lease.Shares {
		if e, ok := state.endpointsByKey[env.relay][share.Key]; ok {
			shared.Grants = append(shared.Grants, control.Grant{Endpoint: e, ExtraShare: share.Extra, Limit: share.Limit, LimitAge: share.LimitAge, Unhealthy: share.State == quota.Down,
				Healthy: share.State == quota.Healthy, HealthAge: share.StateAge, RetryAfter: share.Wait, MayProbe: share.MayProbe})
		}
	}
	r.notify(env.relay, control.Event{Kind: control.SharedLimitsUpdated, Shared: shared})
	state.lessees[env.relay].Confirm(lease.Term, lease.Number) // its turn with the lease precedes its next request
}

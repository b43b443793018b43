package control

import (
	"math"
	"slices"
	"time"
)

// Several senders share the limits of destinations and the quotas of tenants. Package internal/relay/fleet/quota decides what share each
// sender has, whether the evidence of an outage is sufficient, and which sender may probe. This file applies those decisions. Without
// them all shares are equal.

// SharedLimits is what a sender may use of the shared limits, and what other senders have observed. Shares are fractions, 0 to 1.
type SharedLimits struct {
	GuaranteedShare float64       `cbor:"1,keyasint,omitempty"` // of every limit
	LeaseExpiry     time.Duration `cbor:"2,keyasint,omitempty"` // the grants are valid before this time on the clock of Step
	KeepsGuaranteed bool          `cbor:"3,keyasint,omitempty"` // the guaranteed share does not expire
	Grants          []Grant       `cbor:"4,keyasint,omitempty"` // routes and tenants without a grant have the guaranteed share only
}

// Grant is a sender's share of the limit of one route or of the quota of one tenant. Ages are relative to the Step that applies it.
type Grant struct {
	Endpoint   uint32        `cbor:"1,keyasint,omitempty"`  // an endpoint of the route; 0: the grant is for a tenant
	Tenant     int           `cbor:"2,keyasint,omitempty"`  // index into Settings.Tenants
	ExtraShare float64       `cbor:"3,keyasint,omitempty"`  // beyond the guaranteed share
	Limit      float64       `cbor:"4,keyasint,omitempty"`  // calls a second, as reported to another sender; 0: none
	LimitAge   time.Duration `cbor:"5,keyasint,omitempty"`  // since that report
	Unhealthy  bool          `cbor:"6,keyasint,omitempty"`  // other senders found the route down
	Healthy    bool          `cbor:"7,keyasint,omitempty"`  // the route has delivered for another sender
	HealthAge  time.Duration `cbor:"8,keyasint,omitempty"`  // since the newest evidence for Unhealthy or Healthy
	RetryAfter time.Duration `cbor:"9,keyasint,omitempty"`  // remaining wait that the route asked of another sender
	MayProbe   bool          `cbor:"10,keyasint,omitempty"` // it is this sender's turn to probe the route
}

// Observation is what a sender has itself observed of one route or tenant, and how much of its limit the sender needs. Ages are relative
// to the time passed to Observations.
type Observation struct {
	Endpoint      uint32        // an endpoint of the route; 0: the observation is of a tenant
	SeparateRoute bool          // the endpoint is a route of its own
	Tenant        int           // index into Settings.Tenants
	Demand        float64       // calls a second; for a tenant, messages a second
	Value         float64       // mean value of the queued messages
	Limit         float64       // calls a second, as last reported; for a tenant, its quota; 0: none
	LimitAge      time.Duration // since that report
	Unhealthy     bool          // ejected because of its own calls, not on the evidence of others
	Healthy       bool          // the route has delivered
	HealthAge     time.Duration // since the newest evidence for Unhealthy or Healthy
	RetryAfter    time.Duration // remaining wait that the route asked of this sender
}

const (
	// ownReportValidity is how much newer a limit reported to another sender must be than the last report to this sender to replace it.
	ownReportValidity = 2 * time.Second
	// minSharedRate is the least rate, in calls a second, for a share of a reported limit: a rate of 0 would mean that no limit is known.
	minSharedRate = 1e-9
	// idleDemand is the demand, in messages a second, below which no share is requested.
	idleDemand = 0.01
)

// lease is the guaranteed share that this sender was last granted, and the expiry of all its grants.
type lease struct {
	guaranteedShare float64
	expiry          time.Duration
	keepsGuaranteed bool // the guaranteed share outlasts the expiry
}

// share returns the fraction of a limit that this sender may use; extra is its share beyond the guaranteed one.
func (s *Sender) share(extra float64) float64 {
	switch l := s.lease; {
	case l == nil:
		return 1 / float64(s.settings.Peers)
	case s.now < l.expiry:
		return l.guaranteedShare + extra
	case l.keepsGuaranteed:
		return l.guaranteedShare
	}
	return 0
}

// fairRate returns this sender's share of a limit of route.
func (s *Sender) fairRate(route *routeState, limit float64) float64 {
	if s.lease == nil {
		return limit / float64(s.settings.Peers)
	}
	return limit * s.share(route.extraShare)
}

// rateCap returns the calls a second that this sender must never exceed at route: its share of the operator's bound and, if senders share
// limits, of the reported limit. If other senders found the route down, only the sender whose turn it is probes at full rate. The others
// together send one probe a second, in case that sender has failed.
func (s *Sender) rateCap(route *routeState) float64 {
	rate := math.Inf(1)
	if route.destination.maxRate > 0 {
		rate = s.fairRate(route, route.destination.maxRate/float64(len(route.destination.routes)))
	}
	if s.lease == nil {
		return rate
	}
	if route.reportedLimit > 0 {
		rate = min(rate, max(s.fairRate(route, route.reportedLimit), minSharedRate))
	}
	if route.unhealthyAtPeers && !route.isProbeTurn && route.probesOnly() && s.now < s.lease.expiry {
		rate = min(rate, 1/float64(s.settings.Peers))
	}
	return rate
}

// applyReport handles a report of route's limit. If limits are shared, this sender's share is reserved for it, so that it uses all of it
// again after the first delivery, even after a refusal.
func (s *Sender) applyReport(route *routeState, event *Event) {
	fair := s.fairRate(route, event.Limit)
	route.adjustToReport(s.now, event.Remaining, event.Limit, fair)
	if s.lease != nil && event.Result == Delivered {
		route.rateLimit = max(route.rateLimit, fair)
	}
}

// applySharedLimits replaces all earlier grants.
func (s *Sender) applySharedLimits(shared *SharedLimits) {
	if shared == nil {
		return
	}
	s.lease = &lease{shared.GuaranteedShare, shared.LeaseExpiry, shared.KeepsGuaranteed}
	for _, dest := range s.destinationOrder {
		for _, route := range dest.routes {
			route.extraShare, route.unhealthyAtPeers, route.isProbeTurn = 0, false, false
		}
	}
	for i := range s.quotas {
		s.quotas[i].extraShare = 0
	}
	for i := range shared.Grants {
		grant := &shared.Grants[i]
		if grant.Endpoint == 0 {
			if grant.Tenant >= 0 && grant.Tenant < len(s.quotas) {
				s.quotas[grant.Tenant].extraShare = grant.ExtraShare
			}
		} else if endpoint := s.endpoints[grant.Endpoint]; endpoint != nil {
			s.applyGrant(endpoint.route, grant)
		}
	}
	for i := range s.quotas {
		quota := &s.quotas[i]
		quota.rate = quota.total * s.share(quota.extraShare)
	}
}

// applyGrant applies a grant to one route, with what other senders observed of it. Newer observations of this sender take precedence.
func (s *Sender) applyGrant(route *routeState, grant *Grant) {
	route.extraShare, route.unhealthyAtPeers, route.isProbeTurn = grant.ExtraShare, grant.Unhealthy, grant.MayProbe
	if reportedAt := s.now - grant.LimitAge; grant.Limit > 0 && reportedAt > route.reportedAt+ownReportValidity {
		if route.reportedLimit > 0 && route.rateLimit > 0 {
			route.rateLimit *= min(1, grant.Limit/route.reportedLimit)
		}
		route.reportedLimit, route.reportedRemaining = grant.Limit, max(route.reportedRemaining, highRemaining)
	}
	if route.rateLimit > 0 && route.refusalStreak == 0 { // use a larger share immediately
		route.rateLimit = max(route.rateLimit, s.fairRate(route, route.reportedLimit))
	}
	if grant.RetryAfter > 0 {
		route.waitUntil = max(route.waitUntil, s.now+min(grant.RetryAfter, s.settings.MaxRetryAfter))
	}
	switch seenAt := s.now - grant.HealthAge; {
	case grant.Unhealthy && route.newestDelivered < seenAt && !route.probesOnly() && route.failedAt < seenAt:
		failedAt := route.failedAt
		s.restrictToProbes(route, ejected)
		route.failedAt, route.ejectedByPeers = max(failedAt, seenAt), true
	case grant.Healthy && route.health == ejected && route.failedAt < seenAt:
		route.failureStreak, route.resetStreak, route.refusalStreak, route.retryAt, route.ejectedByPeers = 0, 0, 0, 0, false
		route.tokens, route.refilledAt = s.random(), s.now
		s.setHealth(route, recovering)
		route.healthSince = seenAt
	}
}

// Observations appends this sender's observations of the routes in use, and then of the tenants.
func (s *Sender) Observations(now time.Duration, out []Observation) []Observation {
	now = max(now, s.now)
	for _, dest := range s.destinationOrder {
		if !dest.active && dest.demand.rate(now) < idleDemand {
			continue
		}
		value := 0.0
		for _, msg := range dest.queue {
			value += msg.value / float64(len(dest.queue))
		}
		for _, route := range dest.routes {
			if endpoint := s.endpointOf(route); endpoint != nil {
				out = append(out, route.observe(now, endpoint, value))
			}
		}
	}
	for i := range s.quotas {
		if rate := s.quotas[i].demand.rate(now); rate > idleDemand {
			out = append(out, Observation{Tenant: i, Demand: rate, Value: 1, Limit: s.quotas[i].total})
		}
	}
	return out
}

// endpointOf returns an endpoint that identifies route: its first one, or another one if that has been removed; nil if all have.
func (s *Sender) endpointOf(route *routeState) *endpointState {
	if endpoint := s.endpoints[route.id]; endpoint != nil {
		return endpoint
	}
	all := route.destination.endpoints
	if i := slices.IndexFunc(all, func(e *endpointState) bool { return e.route == route }); i >= 0 {
		return all[i]
	}
	return nil
}

// observe returns the observation of a route that endpoint identifies; value is the mean value of the queued messages, 0 if none is
// queued.
func (r *routeState) observe(now time.Duration, endpoint *endpointState, value float64) Observation {
	dest := r.destination
	seen := Observation{Endpoint: endpoint.id, SeparateRoute: endpoint.kind.SeparateRoutes, Limit: r.reportedLimit,
		LimitAge: now - r.reportedAt, RetryAfter: max(r.waitUntil-now, 0), Value: 1}
	messagesPerCall := float64(len(dest.routes) * max(endpoint.kind.MaxMessagesPerCall, 1)) // of the destination's messages, for each call to this route
	if seen.Demand = (dest.demand.rate(now) + float64(len(dest.queue))/2) / messagesPerCall; value > 0 {
		seen.Value = value
	}
	if r.reportedAt == 0 {
		seen.Limit = 0
	}
	switch {
	case r.health == ejected && !r.ejectedByPeers:
		seen.Unhealthy, seen.HealthAge = true, now-r.failedAt
	case r.newestDelivered > 0 && !r.probesOnly():
		seen.Healthy, seen.HealthAge = true, now-r.newestDelivered
	}
	return seen
}

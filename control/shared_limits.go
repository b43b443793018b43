package control

import (
	"math"
	"slices"
	"time"
)

// Several senders share limits: of a destination, and of a tenant. Others decide what share each sender has, whether the evidence of an
// outage is enough, and whose turn it is to probe (internal/relay/fleet/quota); here that is taken in. Without it all shares are equal.

// SharedLimits is what a sender may spend of what all senders have together, and what others have seen. Shares are of 1.
type SharedLimits struct {
	GuaranteedShare float64       `cbor:"1,keyasint,omitempty"` // of each limit
	LeaseExpiry     time.Duration `cbor:"2,keyasint,omitempty"` // the grants count before that, on the clock of Step
	KeepsGuaranteed bool          `cbor:"3,keyasint,omitempty"` // the guaranteed share has no expiry
	Grants          []Grant       `cbor:"4,keyasint,omitempty"` // what is not named here has its guaranteed share
}

// Grant is what is granted of one route, or of one tenant's quota. Ages are counted back from the Step that takes it.
type Grant struct {
	Endpoint   uint32        `cbor:"1,keyasint,omitempty"`  // one of the route's; 0: it is a tenant's
	Tenant     int           `cbor:"2,keyasint,omitempty"`  // an index of Settings.Tenants
	ExtraShare float64       `cbor:"3,keyasint,omitempty"`  // beyond the guaranteed share
	Limit      float64       `cbor:"4,keyasint,omitempty"`  // calls a second, as reported to another sender; 0: none
	LimitAge   time.Duration `cbor:"5,keyasint,omitempty"`  // since that report
	Unhealthy  bool          `cbor:"6,keyasint,omitempty"`  // others have found it down
	Healthy    bool          `cbor:"7,keyasint,omitempty"`  // it has delivered to another
	HealthAge  time.Duration `cbor:"8,keyasint,omitempty"`  // since the newest evidence of either
	RetryAfter time.Duration `cbor:"9,keyasint,omitempty"`  // from now on, as the route asked another sender for
	MayProbe   bool          `cbor:"10,keyasint,omitempty"` // it is this sender's turn to probe it
}

// Observation is what a sender has seen itself of a route, or of a tenant, and needs of it. Ages are counted back from the time that
// Observations was asked for.
type Observation struct {
	Endpoint      uint32        // one of the route's; 0: it is a tenant's
	SeparateRoute bool          // the endpoint is a route of its own
	Tenant        int           // an index of Settings.Tenants
	Demand        float64       // calls a second; of a tenant, messages
	Value         float64       // of one, in the mean of what is queued
	Limit         float64       // calls a second, as reported last; 0: none
	LimitAge      time.Duration // since that report
	Unhealthy     bool          // ejected by its own calls, and not on the word of others
	Healthy       bool          // it has delivered
	HealthAge     time.Duration // since the newest call that Healthy or Unhealthy rests on
	RetryAfter    time.Duration // from now on, as the route asked this sender for
}

const (
	// ownReportValidity is how much older a limit reported to this sender must be than one reported to another for that one to count.
	ownReportValidity = 2 * time.Second
	// minSharedRate is the calls a second that a share of a reported limit allows at least: a rate of 0 would mean that none is known.
	minSharedRate = 1e-9
	// idleDemand is the messages a second below which nothing is needed.
	idleDemand = 0.01
)

// lease is the share of a limit that this sender was granted last.
type lease struct {
	guaranteedShare float64
	expiry          time.Duration
	keepsGuaranteed bool // after the expiry
}

// share is what this sender may spend of something, of 1.
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

// fairRate is this sender's part of a limit of route.
func (s *Sender) fairRate(route *routeState, limit float64) float64 {
	if s.lease == nil {
		return limit / float64(s.settings.Peers)
	}
	return limit * s.share(route.extraShare)
}

// rateCap is the calls a second that route must never exceed: of the operator's bound, and of its limit where senders share that. Where
// others have found it down, only the sender whose turn it is probes it; the rest do so all together once a second, since that one may
// be dead.
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

// applyReport takes a report of route's limit. Where limits are shared the part is there to be spent, also after a refusal.
func (s *Sender) applyReport(route *routeState, event *Event) {
	fair := s.fairRate(route, event.Limit)
	route.adjustToReport(s.now, event.Remaining, event.Limit, fair)
	if s.lease != nil && event.Result == Delivered {
		route.rateLimit = max(route.rateLimit, fair)
	}
}

// applySharedLimits replaces all that was granted before.
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

// applyGrant takes what is granted of one route, and what others have seen of it. A sender's own newer evidence goes first.
func (s *Sender) applyGrant(route *routeState, grant *Grant) {
	route.extraShare, route.unhealthyAtPeers, route.isProbeTurn = grant.ExtraShare, grant.Unhealthy, grant.MayProbe
	if reportedAt := s.now - grant.LimitAge; grant.Limit > 0 && reportedAt > route.reportedAt+ownReportValidity {
		if route.reportedLimit > 0 && route.rateLimit > 0 {
			route.rateLimit *= min(1, grant.Limit/route.reportedLimit)
		}
		route.reportedLimit, route.reportedRemaining = grant.Limit, max(route.reportedRemaining, highRemaining)
	}
	if route.rateLimit > 0 && route.refusalStreak == 0 { // a larger part is there to be spent at once
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

// Observations appends what this sender has seen and needs: of the routes that are in use, and then of the tenants.
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

// endpointOf is an endpoint by which route can be named: the one that it began with, or another if that has left; nil: all have.
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

// observe is the observation of a route that is named by endpoint, where value is the mean of what is queued, 0 if nothing is.
func (r *routeState) observe(now time.Duration, endpoint *endpointState, value float64) Observation {
	dest := r.destination
	seen := Observation{Endpoint: endpoint.id, SeparateRoute: endpoint.kind.SeparateRoutes, Limit: r.reportedLimit,
		LimitAge: now - r.reportedAt, RetryAfter: max(r.waitUntil-now, 0), Value: 1}
	messagesPerCall := float64(len(dest.routes) * max(endpoint.kind.PerCall, 1)) // of this route's
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

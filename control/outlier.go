package control

import (
	"fmt"
	"slices"
	"time"
)

// Passive health checks: a route is ejected by what this sender's own calls meet there, or on the word of other senders (see
// applyGrant), and returns by the first delivery to a probe.

const (
	// lateCallFactor is the multiple of the 90th percentile from which on a call in flight is late.
	lateCallFactor = 2.5
	// minLateAge is the age in seconds that a late call has at least: shorter pauses are no sign.
	minLateAge = 1.0
	// unknownLateFactor is the multiple of minLateAge from which on a call is late where the endpoint's times aren't known.
	unknownLateFactor = 3
	// lateCallEjection is how long a route has late calls before it is ejected: shorter is a pause, longer an outage.
	lateCallEjection = 2500 * time.Millisecond
	// hangingCallFactor is the multiple of the late age from which on a Safe call at an ejected route is called off.
	hangingCallFactor = 3.0

	// ejectionFailures is the number of failures in a row that eject a route.
	ejectionFailures = 2
	// ejectionResets is the number of connection resets in a row from which on each counts as such a failure.
	ejectionResets = 4
	// ejectionRefusals is the number of refusals in a row, decreaseInterval apart, that do so at a route that gets few calls.
	ejectionRefusals = 2
	// ejectionNoDelivery is the time without a delivery after which a single failure, or those refusals, eject a route.
	ejectionNoDelivery = 3 * time.Second
	// outageRetryAfter is the wait from which on a route that tells it is shut, and not just busy.
	outageRetryAfter = 2500 * time.Millisecond
	// unsafeProbeTokens is what a probe needs that can't be repeated: it comes half a probe later than others.
	unsafeProbeTokens = 1.5
)

// health is what is observed of a route.
type health uint8

const (
	healthy    health = iota
	lagging           // calls in flight are older than its calls usually take: one probe at a time
	ejected           // it fails or refuses what is sent: one probe at a time
	recovering        // it has answered a probe: slow start
)

// healthText is written to logs and captures.
var healthText = [...]string{"steady", "overrunning", "stopped", "returning"}

// probesOnly tells whether only probes may be sent.
func (r *routeState) probesOnly() bool { return r.health == ejected || r.health == lagging }

// recordSuccess takes a sign that route is up. An ejected route is recovering from then on, in slow start.
func (s *Sender) recordSuccess(route *routeState) {
	route.failureStreak, route.resetStreak, route.refusalStreak, route.retryAt = 0, 0, 0, 0
	switch route.health {
	case lagging:
		s.setHealth(route, healthy)
	case ejected:
		route.tokens, route.refilledAt = s.random(), s.now
		s.setHealth(route, recovering)
		route.healthSince -= (s.now - route.failedAt) / 2 // it came back at some time between
	}
}

// recordFailure takes a failure, or a refusal that may mean an outage. At a destination that hundreds call each of them sees one or two
// calls: one failure is enough where nothing delivered of late speaks against it, and two refusals in a row, since a limit refuses some
// calls and a destination that is shut refuses all. Where the limit is reported as used up no number of refusals means an outage.
func (s *Sender) recordFailure(route *routeState, neverRan bool) {
	route.neverRan, route.failedAt, route.ejectedByPeers = neverRan, s.now, false
	refusals := ejectionRefusals + int(ejectionNoDelivery.Seconds()*min(1, route.sends.rate(s.now)))
	unanswered := s.now-route.newestDelivered > ejectionNoDelivery && (route.failureStreak > 0 && !neverRan ||
		route.refusalStreak >= refusals && (route.reportedLimit == 0 || route.reportedRemaining > highRemaining))
	switch {
	case route.health == ejected:
		route.tokens = 2*s.random() - 1
	case unanswered || route.failureStreak >= ejectionFailures || route.waitUntil > s.now+outageRetryAfter,
		route.health == recovering && route.failureStreak > 0: // it is the first to fail again, or has not come back
		s.restrictToProbes(route, ejected)
	}
}

// restrictToProbes lets only probes go to route, which is lagging or ejected. The first comes at a time of its own at each of the senders.
func (s *Sender) restrictToProbes(route *routeState, h health) {
	if route.health == healthy {
		route.rateBeforeOutage = max(route.deliveries.rate(s.now), route.rateBeforeOutage/2)
	}
	route.tokens, route.refilledAt, route.failedAt = 2*s.random()-1, s.now, s.now
	s.setHealth(route, h)
}

func (s *Sender) setHealth(route *routeState, h health) {
	route.health, route.healthSince = h, s.now
	if h == ejected || h == recovering {
		s.emit(Action{Kind: Log, Text: fmt.Sprintf("destination %d (endpoint %d) is %s (streak %d, refused %d)",
			route.destination.id, route.id, healthText[h], route.failureStreak, route.refusalStreak)})
	}
}

// lateAge is the age in seconds from which on a call to endpoint is late.
func (s *Sender) lateAge(endpoint *endpointState) float64 {
	if !endpoint.known() {
		return unknownLateFactor * minLateAge
	}
	return max(minLateAge, lateCallFactor*endpoint.pooled.quantile(s.bounds, 0.9))
}

// updateHealth finds the routes whose calls in flight are late. Like all that each Step does it looks only at destinations for which
// something is queued or in flight, however many the list names.
func (s *Sender) updateHealth() {
	s.active = slices.DeleteFunc(s.active, func(dest *destinationState) bool {
		dest.active = len(dest.queue) > 0 || dest.callsInFlight > 0
		return !dest.active
	})
	s.reclaimSlot()
	for _, dest := range s.active {
		s.countLateCalls(dest)
		for _, route := range dest.routes {
			s.updateRouteHealth(route)
		}
	}
}

// countLateCalls counts the late calls of dest's routes, and calls off Safe ones that hang at an ejected route: they would wait for their
// deadline there, also when the route is back.
func (s *Sender) countLateCalls(dest *destinationState) {
	for _, route := range dest.routes {
		route.lateCalls = 0
	}
	for _, endpoint := range dest.endpoints {
		for _, msg := range endpoint.inFlight {
			age, lateAge := (s.now - msg.sentAt).Seconds(), s.lateAge(endpoint)
			if age > lateAge && msg.sentAt >= endpoint.route.newestDelivered {
				endpoint.route.lateCalls++
			}
			if msg.class.Effect == Safe && endpoint.route.health == ejected && age > hangingCallFactor*lateAge && s.settings.Cancel &&
				!msg.cancelled && !msg.ended && msg.attempts < s.settings.MaxAttempts {
				s.cancelAttempt(msg)
			}
		}
	}
}

func (s *Sender) updateRouteHealth(route *routeState) {
	switch {
	case route.health == healthy && route.lateCalls > 0:
		s.restrictToProbes(route, lagging)
	case route.health == lagging && route.lateCalls == 0,
		route.health == recovering && s.now-route.healthSince > s.settings.SlowStart:
		s.setHealth(route, healthy)
	case route.health == lagging && s.now-route.healthSince > lateCallEjection:
		s.restrictToProbes(route, ejected)
	}
}

// mayProbe lets one probe at a time go to a route that gets only probes: a message that may be repeated if one is queued.
func (s *Sender) mayProbe(msg *message, route *routeState) bool {
	if route.inFlight > route.lateCalls {
		return false
	}
	idempotent := func(m *message) bool { return m.class.Effect != Unsafe }
	return idempotent(msg) ||
		!slices.ContainsFunc(msg.destination.queue, idempotent) && (route.neverRan || route.tokens >= unsafeProbeTokens)
}

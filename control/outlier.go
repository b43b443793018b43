package control

import (
	"fmt"
	"slices"
	"time"
)

// Passive health checks: a route is ejected because of the outcomes of this sender's own calls, or on the evidence of other senders (see
// applyGrant). It returns with the first delivery to a probe.

const (
	// lateCallFactor is the multiple of the 90th percentile of an endpoint's call times above which a call in flight is late.
	lateCallFactor = 2.5
	// minLateAge is the least age, in seconds, of a late call: shorter pauses say nothing about health.
	minLateAge = 1.0
	// unknownLateFactor is the multiple of minLateAge above which a call is late if the endpoint's call times aren't known.
	unknownLateFactor = 3
	// lateCallEjection is how long a route must have late calls before it is ejected: anything shorter is a pause, anything longer an
	// outage.
	lateCallEjection = 2500 * time.Millisecond
	// hangingCallFactor is the multiple of the late age above which a Safe call to an ejected route is cancelled.
	hangingCallFactor = 3.0

	// ejectionFailures is the number of consecutive failures that eject a route.
	ejectionFailures = 2
	// ejectionResets is the number of consecutive connection resets from which on each one counts as a failure.
	ejectionResets = 4
	// ejectionRefusals is the number of consecutive refusals, decreaseInterval apart, that eject a route with few calls.
	ejectionRefusals = 2
	// ejectionNoDelivery is the time without a delivery after which a route is ejected by a single failure of a call that may have had an
	// effect, or by ejectionRefusals consecutive refusals (more for a route with many calls).
	ejectionNoDelivery = 3 * time.Second
	// outageRetryAfter is the wait above which a route that asks for it is considered down, not just busy.
	outageRetryAfter = 2500 * time.Millisecond
	// unsafeProbeTokens is the number of tokens needed for a probe that can't be repeated, so that it is sent half a probe interval later
	// than others.
	unsafeProbeTokens = 1.5
)

// health is the observed health of a route.
type health uint8

const (
	healthy    health = iota
	lagging           // some calls in flight are late: one probe at a time
	ejected           // the route fails or refuses calls: one probe at a time
	recovering        // the route has answered a probe: slow start
)

// healthText is written to logs and captures.
var healthText = [...]string{"steady", "overrunning", "stopped", "returning"}

// probesOnly reports whether only probes may be sent to the route.
func (r *routeState) probesOnly() bool { return r.health == ejected || r.health == lagging }

// recordSuccess handles evidence that route is up. An ejected route becomes recovering, with a slow start.
func (s *Sender) recordSuccess(route *routeState) {
	route.failureStreak, route.resetStreak, route.refusalStreak, route.retryAt = 0, 0, 0, 0
	switch route.health {
	case lagging:
		s.setHealth(route, healthy)
	case ejected:
		route.tokens, route.refilledAt = s.random(), s.now
		s.setHealth(route, recovering)
		route.healthSince -= (s.now - route.failedAt) / 2 // it came back some time after the last failure; assume half way
	}
}

// recordFailure handles a failure, or a refusal that may mean an outage. If hundreds of senders call a destination, each has only one or
// two calls there. So without a recent delivery, one failure is enough to eject a route, and so are two consecutive refusals: a rate
// limit refuses some calls, a destination that is out of service refuses all. While the reported limit is used up, no number of refusals
// means an outage.
func (s *Sender) recordFailure(route *routeState, neverRan bool) {
	route.neverRan, route.failedAt, route.ejectedByPeers = neverRan, s.now, false
	refusals := ejectionRefusals + int(ejectionNoDelivery.Seconds()*min(1, route.sends.rate(s.now)))
	unanswered := s.now-route.newestDelivered > ejectionNoDelivery && (route.failureStreak > 0 && !neverRan ||
		route.refusalStreak >= refusals && (route.reportedLimit == 0 || route.reportedRemaining > highRemaining))
	switch {
	case route.health == ejected:
		route.tokens = 2*s.random() - 1
	case unanswered || route.failureStreak >= ejectionFailures || route.waitUntil > s.now+outageRetryAfter,
		route.health == recovering && route.failureStreak > 0: // it failed again, or is not back yet
		s.restrictToProbes(route, ejected)
	}
}

// restrictToProbes sets route to lagging or ejected, so that it only gets probes. The first probe is sent after a random delay, different
// at each sender.
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

// lateAge returns the age in seconds above which a call to endpoint is late.
func (s *Sender) lateAge(endpoint *endpointState) float64 {
	if !endpoint.known() {
		return unknownLateFactor * minLateAge
	}
	return max(minLateAge, lateCallFactor*endpoint.pooled.quantile(s.bounds, 0.9))
}

// updateHealth looks for late calls and updates the health of routes. Like the rest of a Step, it only visits destinations with queued
// messages or calls in flight, however many are listed.
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

// countLateCalls counts the late calls of dest's routes, and cancels Safe calls that hang at an ejected route: they would wait there
// until their deadline, even after the route is back.
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

// mayProbe reports whether msg may be sent as a probe. A route that only gets probes has one in flight at a time, preferably a message
// that may be repeated.
func (s *Sender) mayProbe(msg *message, route *routeState) bool {
	if route.inFlight > route.lateCalls {
		return false
	}
	idempotent := func(m *message) bool { return m.class.Effect != Unsafe }
	return idempotent(msg) ||
		!slices.ContainsFunc(msg.destination.queue, idempotent) && (route.neverRan || route.tokens >= unsafeProbeTokens)
}

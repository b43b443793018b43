package control

import (
	"cmp"
	"math"
	"time"
)

// Each route has a token bucket. Its rate is learnt by additive increase and multiplicative decrease (AIMD), or follows the limit that
// the route reports. Around an outage it follows the slow start.

const (
	// decreaseInterval is the period within which all refusals count as one.
	decreaseInterval = 500 * time.Millisecond
	// multiplicativeDecrease is the factor applied after a refusal to the learnt rate, or to an equal share of a reported limit. A
	// smaller factor leaves room for other senders sooner, but takes longer to find the limit again.
	multiplicativeDecrease = 0.85
	// limitGrowth is the growth per second of the learnt rate, as a fraction.
	limitGrowth = 0.05
	// reportedIncrease is the growth of the rate under a reported limit, as a fraction, for each accepted call while highRemaining is
	// exceeded.
	reportedIncrease = 0.05
	// reportedDecrease is the factor applied to this sender's rate after a refusal under a reported limit.
	reportedDecrease = 0.5
	// highRemaining is the reported remaining share of the limit above which there is room for more calls; below lowRemaining the limit
	// is almost used up.
	highRemaining = 0.5
	lowRemaining  = 0.2

	// burstSeconds is the size of a healthy route's token bucket, in seconds of its rate, in addition to one token.
	burstSeconds = 0.3
	// probeBurst is the size of the token bucket for probes.
	probeBurst = 2
	// slowStartMargin is the share of OverloadMultiple that a recovering route gets; the rest is a margin for load that this sender can't
	// see.
	slowStartMargin = 0.9
	// minSlowStartShare is the least share of its capacity that a recovering route is assumed to have; without it, it might get no probe
	// at all.
	minSlowStartShare = 0.1
	// batchedMessageCost is the number of tokens for each further message in a call to a recovering route.
	batchedMessageCost = 0.25
)

// decreaseLimit handles a refusal as a sign of a limit shared with other senders. The deliveries that this sender recently achieved are
// its share: it stays slightly below that and then increases slowly. If refused calls use up the limit, asking for more yields less. So
// under a reported limit all senders fall back to an equal share and then, with further refusals, down to the rate for a recovering
// route. Each sender resumes after the wait plus a random delay, whether the wait was asked of it or of other senders.
func (s *Sender) decreaseLimit(route *routeState, kind *kindState) {
	if !s.backOff(route, kind) {
		return
	}
	previous := min(route.sends.rate(s.now), cmp.Or(route.rateLimit, math.Inf(1)))
	if fair := s.fairRate(route, route.reportedLimit); fair > 0 { // the route may be down, so the limit may fall to the rate allowed while a route recovers
		recovered := slowStartMargin * s.settings.OverloadMultiple * s.settings.SlowStartShare
		route.rateLimit = max(reportedDecrease*previous,
			fair*max(recovered, multiplicativeDecrease*math.Pow(reportedDecrease, float64(route.refusalStreak-1))))
		route.tokens, route.refilledAt = s.random()-0.5, max(s.now+route.lastWait, route.waitUntil)
		return
	}
	minLimit := 1 / (kind.retryGap * math.Exp2(float64(min(route.refusalStreak, maxBackoffDoublings))))
	route.rateLimit = max(multiplicativeDecrease*previous, min(previous, route.deliveries.rate(s.now)), minLimit)
	route.tokens = -s.random() / 2 // senders that were refused together must not return together
}

// adjustToReport handles a reported limit, the share of it that remains, and fair, this sender's equal share of the limit. The rate
// starts at the equal share, since all senders see the same reports and react to them together. It grows a little with each call while
// much of the limit remains, and decreases while little remains.
func (r *routeState) adjustToReport(now time.Duration, remaining, limit, fair float64) {
	r.reportedLimit, r.reportedRemaining, r.rateLimit = limit, remaining, min(limit, cmp.Or(r.rateLimit, fair))
	switch elapsed := min(1, (now - r.reportedAt).Seconds()); {
	case remaining > highRemaining: // other senders leave capacity unused, so this one may exceed an equal share
		growth := min(reportedIncrease, 0.5*elapsed) + 2*reportedIncrease*elapsed*float64(min(1, len(r.destination.queue)))
		r.rateLimit = min(limit, max(fair, r.rateLimit*(1+growth)))
	case remaining < lowRemaining:
		r.rateLimit *= 1 - 0.2*elapsed
	}
	r.reportedAt = now
}

// paceAllows refills route's tokens, and reports whether they allow a call now.
func (s *Sender) paceAllows(route *routeState) bool {
	if s.now < route.retryAt && !route.probesOnly() || s.now < route.refilledAt {
		return false
	}
	rate, burst := route.rateLimit, 1+burstSeconds*route.rateLimit
	if route.health != healthy {
		rate, burst = s.outagePace(route, rate, burst)
	}
	if maxRate := s.rateCap(route); !math.IsInf(maxRate, 1) {
		rate, burst = min(cmp.Or(rate, maxRate), maxRate), min(burst, 1+2*tickInterval.Seconds()*maxRate)
	}
	if rate == 0 { // no limit is known yet
		route.tokens, route.refilledAt = 1, s.now
		return route.inFlight < max(1, initialCalls/s.settings.Peers) || route.newestDelivered+route.failedAt > 0
	}
	elapsed := (s.now - route.refilledAt).Seconds()
	route.tokens, route.refilledAt = min(burst, route.tokens+rate*elapsed), s.now
	// With many senders the rate grows more slowly: the more there are, the later they notice that their total is too high.
	route.rateLimit *= 1 + limitGrowth*elapsed*min(1, initialCalls/3/float64(s.settings.Peers))
	return route.tokens >= 1
}

// outagePace returns the rate and burst around an outage; rate and burst are those of the learnt limit. The result is this sender's own
// traffic times what a recovering route accepts. An ejected route gets probes at the rate that it would accept right after its return,
// whenever that is. Each sender probes in proportion to its own traffic, so all of them together don't overload the route, however many
// they are.
func (s *Sender) outagePace(route *routeState, rate, burst float64) (float64, float64) {
	capacity := s.settings.SlowStartShare
	if route.health == recovering && s.settings.SlowStart > 0 {
		capacity += (1 - capacity) * min(1, float64(s.now-route.healthSince)/float64(s.settings.SlowStart))
	}
	queued := float64(len(route.destination.queue)) / (2 * rateWindow.Seconds())
	traffic := max(route.destination.demand.rate(s.now), queued) / float64(len(route.destination.routes))
	switch fair := s.fairRate(route, route.reportedLimit); {
	case fair > 0 && route.health == recovering: // whatever the demand
		traffic = fair
	case fair > 0 && route.reportedRemaining <= highRemaining: // the demand may exceed what the route accepts when healthy
		traffic = min(traffic, fair)
	}
	pace := max(traffic, route.rateBeforeOutage, 1/float64(s.settings.Peers)) *
		max(1, slowStartMargin*s.settings.OverloadMultiple) * max(capacity, minSlowStartShare)
	switch {
	case route.probesOnly():
		if route.failureStreak == 0 { // refused probes may use up a limit: probe less with each refusal
			pace *= math.Exp2(-float64(min(max(route.refusalStreak-ejectionRefusals, 0), maxBackoffDoublings)))
		}
		return pace, probeBurst
	case rate == 0 || pace < rate:
		return pace, 1
	}
	return rate, burst
}

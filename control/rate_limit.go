package control

import (
	"cmp"
	"math"
	"time"
)

// Each route has a token bucket, whose rate is learnt by additive increase and multiplicative decrease (AIMD), or follows the limit that
// the route reports. Around an outage it follows the slow start.

const (
	// decreaseInterval is the time in which all refusals count as one.
	decreaseInterval = 500 * time.Millisecond
	// multiplicativeDecrease is the factor of the learnt limit, or of an equal part of a reported one, after a refusal. Smaller leaves a
	// limit sooner to others, and takes longer to find it again.
	multiplicativeDecrease = 0.85
	// limitGrowth is the growth of the learnt limit a second, as a share of it.
	limitGrowth = 0.05
	// reportedIncrease is the growth of the pace under a reported limit with each call that is let in while plenty was left, as a share.
	reportedIncrease = 0.05
	// reportedDecrease is the factor of the own pace after a refusal under a reported limit.
	reportedDecrease = 0.5
	// highRemaining is the reported share of the allowance above which there is room for more; below lowRemaining it runs out.
	highRemaining = 0.5
	lowRemaining  = 0.2

	// burstSeconds is the seconds' worth of its limit that a healthy route may get at once, beside the first call.
	burstSeconds = 0.3
	// probeBurst is the number of probes that gather while none is sent.
	probeBurst = 2
	// slowStartMargin is the share of OverloadMultiple that a recovering route gets: the rest is for what this sender can't see.
	slowStartMargin = 0.9
	// minSlowStartShare is the share of its capacity that a recovering route is taken to have at least: else it would get no probe.
	minSlowStartShare = 0.1
	// batchedMessageCost is what one more message in a call to a recovering route costs, in calls.
	batchedMessageCost = 0.25
)

// decreaseLimit takes a refusal as the sign of a limit that is shared with other senders: what this sender lately got accepted is its
// part, and it stays a little under that and probes upwards slowly. Where refused calls use up the limit, asking more gets less: of a
// reported limit all fall back to equal parts, then to what even a recovering route takes, each from a moment of its own after the wait,
// whether that wait was asked of it or of others.
func (s *Sender) decreaseLimit(route *routeState, kind *kindState) {
	if !s.backOff(route, kind) {
		return
	}
	had := min(route.sends.rate(s.now), cmp.Or(route.rateLimit, math.Inf(1)))
	if fair := s.fairRate(route, route.reportedLimit); fair > 0 { // it may be shut, and recover
		recovered := slowStartMargin * s.settings.OverloadMultiple * s.settings.SlowStartShare
		route.rateLimit = max(reportedDecrease*had,
			fair*max(recovered, multiplicativeDecrease*math.Pow(reportedDecrease, float64(route.refusalStreak-1))))
		route.tokens, route.refilledAt = s.random()-0.5, max(s.now+route.lastWait, route.waitUntil)
		return
	}
	minLimit := 1 / (kind.retryGap * math.Exp2(float64(min(route.refusalStreak, maxBackoffDoublings))))
	route.rateLimit = max(multiplicativeDecrease*had, min(had, route.deliveries.rate(s.now)), minLimit)
	route.tokens = -s.random() / 2 // hundreds that were refused together must not come back together
}

// adjustToReport takes a report: the share of the allowance that remains, the limit, and this sender's equal part of it, fair. The pace
// begins at that part, since all senders see the same and act on it together; with plenty left it grows a little with each call, with
// little left it yields.
func (r *routeState) adjustToReport(now time.Duration, remaining, limit, fair float64) {
	r.reportedLimit, r.reportedRemaining, r.rateLimit = limit, remaining, min(limit, cmp.Or(r.rateLimit, fair))
	switch elapsed := min(1, (now - r.reportedAt).Seconds()); {
	case remaining > highRemaining: // traffic is uneven: those with more to send than an equal part need more
		more := min(reportedIncrease, 0.5*elapsed) + 2*reportedIncrease*elapsed*float64(min(1, len(r.destination.queue)))
		r.rateLimit = min(limit, max(fair, r.rateLimit*(1+more)))
	case remaining < lowRemaining:
		r.rateLimit *= 1 - 0.2*elapsed
	}
	r.reportedAt = now
}

// paceAllows refills the tokens of route, and tells whether they let a call go now.
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
	if rate == 0 { // nothing is known of a limit yet
		route.tokens, route.refilledAt = 1, s.now
		return route.inFlight < max(1, initialCalls/s.settings.Peers) || route.newestDelivered+route.failedAt > 0
	}
	elapsed := (s.now - route.refilledAt).Seconds()
	route.tokens, route.refilledAt = min(burst, route.tokens+rate*elapsed), s.now
	// With many senders it grows more slowly: the more there are, the later it shows that they are too fast together.
	route.rateLimit *= 1 + limitGrowth*elapsed*min(1, initialCalls/3/float64(s.settings.Peers))
	return route.tokens >= 1
}

// outagePace is the rate and burst around an outage, where rate and burst are those of the learnt limit: this sender's own traffic times
// what a recovering route takes. While it is ejected that is what it takes at its return, whenever that comes: the probes of all senders
// together push nothing over, however many they are, since each makes them in proportion to its own traffic.
func (s *Sender) outagePace(route *routeState, rate, burst float64) (float64, float64) {
	capacity := s.settings.SlowStartShare
	if route.health == recovering && s.settings.SlowStart > 0 {
		capacity += (1 - capacity) * min(1, float64(s.now-route.healthSince)/float64(s.settings.SlowStart))
	}
	queued := float64(len(route.destination.queue)) / (2 * rateWindow.Seconds())
	own := max(route.destination.demand.rate(s.now), queued) / float64(len(route.destination.routes))
	switch fair := s.fairRate(route, route.reportedLimit); {
	case fair > 0 && route.health == recovering: // however much waits
		own = fair
	case fair > 0 && route.reportedRemaining <= highRemaining: // what is asked may be more than it takes when it is healthy
		own = min(own, fair)
	}
	pace := max(own, route.rateBeforeOutage, 1/float64(s.settings.Peers)) *
		max(1, slowStartMargin*s.settings.OverloadMultiple) * max(capacity, minSlowStartShare)
	switch {
	case route.probesOnly():
		if route.failureStreak == 0 { // a limit that refused calls use up is left alone
			pace *= math.Exp2(-float64(min(max(route.refusalStreak-ejectionRefusals, 0), maxBackoffDoublings)))
		}
		return pace, probeBurst
	case rate == 0 || pace < rate:
		return pace, 1
	}
	return rate, burst
}

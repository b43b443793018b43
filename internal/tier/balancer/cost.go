package balancer

// Terms of the cost of an endpoint, as fractions of the expected time unless noted otherwise.
const (
	warmUpPenalty       = 0.5  // for an endpoint that is warming up
	tieBreakPenalty     = 0.03 // at most; keeps proxies without call times from all starting with the same endpoint
	affinitySaving      = 0.25 // of the predicted work, saved by an endpoint that recently served the same affinity key
	prefillWeight       = 1.5  // of the prefill time of a prefix that isn't cached; above 1 because prefill delays other requests too
	prefillInterference = 0.5  // fraction of the cost of a cache miss that each request in flight at the endpoint adds to it; streams only
	preferredMissShare  = 0.5  // fraction of the cost of a cache miss charged to the preferred endpoint if another one is known to have served the prefix
)

// cost returns the expected time of the request at an endpoint plus all penalties, in seconds.
func (sel *selection) cost(e *endpoint, inFlight float64) float64 {
	estimates := sel.plan.estimatesFor(e)
	expected := sel.workScale * estimates.expected[sel.attemptsLeft]
	factor := 1 + e.congestion(inFlight) + tieBreakPenalty*e.tieBreak
	if e.warmUpUntil > sel.now {
		factor += warmUpPenalty
	}
	cost := expected*factor + e.zonePenalty
	if sel.request.OutputTokens > 0 {
		servicePace := e.service.work.pace.perToken(priorSecondsPerOutputToken)
		cost += float64(sel.request.OutputTokens) * e.pace.perToken(servicePace) * factor
	}
	return cost + sel.affinityPenalty(e, inFlight)
}

// affinityPenalty returns the cost of a cache miss at an endpoint that probably doesn't have the request's prefix. The cost includes
// the delay of requests in flight there: without it, congestion would drive requests away from the endpoints that have their
// prefixes cached, and the prefill elsewhere would add to the congestion.
func (sel *selection) affinityPenalty(e *endpoint, inFlight float64) float64 {
	cost := sel.cacheMissCost
	if sel.plan.kind == streamCall {
		cost *= 1 + prefillInterference*inFlight
	}
	switch {
	case sel.preferred == nil || e == sel.lastServed, e == sel.preferred && sel.lastServed == nil:
		return 0
	case e == sel.preferred:
		return preferredMissShare * cost
	}
	return cost
}

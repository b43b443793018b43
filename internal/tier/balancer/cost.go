package balancer

// Penalties of an endpoint in the cost of a selection. They multiply the expected time unless they say otherwise.
const (
	warmUpPenalty       = 0.5  // while it is warming up
	tieBreakPenalty     = 0.03 // at most, so that proxies that know nothing don't all begin with the same endpoint
	affinitySaving      = 0.25 // saved by the endpoint that has lately served a subject
	prefixWeight        = 1.5  // times the prefill of a prefix that is not in its cache: prefill delays other requests too
	prefillInterference = 0.5  // of that time, for each request in flight there
	preferredMissShare  = 0.5  // of that, at the preferred endpoint where another one is known to have served the prefix
)

// cost is the expected time at an endpoint with all penalties, in seconds.
func (sel *selection) cost(e *endpoint, inFlight float64) float64 {
	estimates := sel.plan.estimatesFor(e)
	expected := sel.workScale * estimates.expected[sel.attemptsLeft]
	factor := 1 + e.congestion(inFlight) + tieBreakPenalty*e.tieBreak
	if e.warmUpUntil > sel.now {
		factor += warmUpPenalty
	}
	cost := expected*factor + e.zonePenalty
	if sel.request.OutTokens > 0 {
		servicePace := e.service.work.pace.perToken(priorSecondsPerOutputToken)
		cost += float64(sel.request.OutTokens) * e.pace.perToken(servicePace) * factor
	}
	return cost + sel.prefixMissCost(e, inFlight)
}

// prefixMissCost charges the prefill of a prefix that the endpoint doesn't have in its cache, to the request and to those
// in flight there: without the latter, congestion makes requests leave the endpoints that have their prefixes, and the
// prefill elsewhere adds to the congestion.
func (sel *selection) prefixMissCost(e *endpoint, inFlight float64) float64 {
	cost := sel.prefixCost
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

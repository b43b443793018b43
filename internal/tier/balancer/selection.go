package balancer

import (
	"math"
	"slices"
	"time"
)

// Limits of a selection.
const (
	maxShareHealthy      = 0.75 // fraction of MaxInFlight that may be in flight to one healthy endpoint
	maxShareUnhealthy    = 0.5  // fraction of MaxInFlight that may be in flight to an endpoint whose calls are overdue or fail
	probeTimeoutFactor   = 3.0  // multiple of the pooled median that a retryable probe may last
	minRetryAfter        = 50 * time.Millisecond
	noEndpointRetryAfter = 500 * time.Millisecond
)

// selection is the state of one call of Select.
type selection struct {
	now           time.Duration
	request       *Request
	plan          *callPlan
	attemptsLeft  int       // including this one, at most maxPlannedAttempts; 1 if the request isn't retryable
	workScale     float64   // predicted work of the request as a multiple of workUnit
	cacheMissCost float64   // cost in seconds of serving the request at an endpoint without its prefix
	preferred     *endpoint // for the request's affinity key, by rendezvous hashing; nil without affinity
	lastServed    *endpoint // to get the affinity key from this proxy; nil if unknown
	retryable     bool
	othersShare   float64 // mean share of an endpoint's capacity that other proxies take

	best, bestUnhealthy, probeCandidate *endpoint
	bestCost, bestUnhealthyCost         float64
	hasHealthy                          bool          // a healthy endpoint exists, even if it can't take the request now (see consider)
	available                           int           // number of healthy endpoints that can take the request
	earliestBackoffEnd                  time.Duration // 0: no endpoint is in backoff
	saturated                           bool          // an endpoint that could otherwise take the request is at capacity or in backoff
}

// Select selects an endpoint and a timeout for the next attempt of a request, or rejects the request. The attempt counts as in flight
// only from Sent on.
func (b *Balancer) Select(now time.Duration, r Request) Decision {
	b.advance(now)
	svc := b.services[r.Service]
	if svc == nil {
		return reject(NoEndpoint, noEndpointRetryAfter)
	}
	if r.Retryable && !r.MayHaveRun {
		svc.lastRetryableAt, svc.sawRetryable = b.now, true
	}
	left := attemptsLeft(&r)
	if left < 1 || r.MayHaveRun && (!r.Retryable || !svc.budget.allows()) || r.TimeLeft <= 0 {
		return reject(AttemptsExhausted, 0)
	}
	route := svc.work.route(r.Route.Name)
	sel := b.newSelection(svc, &r, route, left)
	if b.inFlight >= b.options.MaxInFlight {
		return reject(Saturated, sel.retryAfter())
	}
	e := b.selectEndpoint(&sel, svc)
	if e == nil {
		return sel.rejectWithoutEndpoint()
	}
	decision := sel.decide(svc, e)
	decision.Attempt.route, decision.Attempt.routeName = route, r.Route.Name
	decision.Attempt.promptTokens, decision.Attempt.outputTokens = float64(r.UncachedTokens), float64(r.OutputTokens)
	return decision
}

// newSelection predicts the request's work and refreshes the plan.
func (b *Balancer) newSelection(svc *service, r *Request, route *routeWork, left int) selection {
	sel := selection{now: b.now, request: r, plan: svc.plan(kindOf(r.Route.Kind)), attemptsLeft: min(left, maxPlannedAttempts)}
	if sel.retryable = r.Retryable; !sel.retryable {
		sel.attemptsLeft = 1
	}
	work := svc.work.predict(sel.plan.kind, route, float64(r.UncachedTokens))
	sel.workScale = work / workUnit.Seconds()
	sel.plan.refresh(b.now, sel.attemptsLeft)
	return sel
}

// selectEndpoint selects an endpoint of the version that selectGroup returns, or of the other version if none of those is healthy.
func (b *Balancer) selectEndpoint(sel *selection, svc *service) *endpoint {
	group := svc.selectGroup(sel.request.AffinityKey, sel.request.Route.Name)
	e := b.selectFromGroup(sel, svc, group)
	if e != nil && !e.unhealthy() {
		return e
	}
	fallback := svc.fallbackGroup(group)
	if fallback == nil {
		return e
	}
	if other := b.selectFromGroup(sel, svc, fallback); other != nil && (e == nil || !other.unhealthy()) {
		return other
	}
	return e
}

// selectFromGroup selects an endpoint of one group; nil: none can take the request.
func (b *Balancer) selectFromGroup(sel *selection, svc *service, group *versionGroup) *endpoint {
	sel.best, sel.bestUnhealthy, sel.probeCandidate, sel.preferred, sel.lastServed = nil, nil, nil, nil, nil
	sel.bestCost, sel.bestUnhealthyCost, sel.available, sel.hasHealthy = math.Inf(1), math.Inf(1), 0, false
	sel.othersShare = svc.load.expectedOthersShare(b.now)
	b.resolveAffinity(sel, svc, group)
	b.scanCandidates(sel, group, group.candidates(svc, sel.plan, b.now))
	return sel.chooseCandidate(svc)
}

// scanCandidates considers the candidates, the endpoints that may have the request's prefix, and all endpoints of the group if no
// healthy one has been found by then.
func (b *Balancer) scanCandidates(sel *selection, group *versionGroup, candidates []*endpoint) {
	for _, e := range candidates {
		b.consider(sel, e)
	}
	if len(candidates) >= len(group.ready) {
		return
	}
	if sel.preferred != nil {
		b.consider(sel, sel.preferred)
		if sel.lastServed != nil {
			b.consider(sel, sel.lastServed)
		}
	}
	if sel.best == nil {
		for _, e := range group.ready {
			b.consider(sel, e)
		}
	}
}

// consider compares an endpoint with the best one so far. An excluded endpoint can't be selected; for a request that isn't retryable it
// still counts in hasHealthy, so that the request isn't sent to an unhealthy endpoint instead.
func (b *Balancer) consider(sel *selection, candidate *endpoint) {
	if !candidate.ready {
		return
	}
	unhealthy := candidate.unhealthy()
	if len(sel.request.Excluded) > 0 && slices.Contains(sel.request.Excluded, candidate.model.ID) {
		sel.hasHealthy = sel.hasHealthy || !unhealthy && !sel.retryable
		return
	}
	sel.hasHealthy = sel.hasHealthy || !unhealthy
	if backoff := candidate.health.backoffUntil; backoff > sel.now {
		if sel.earliestBackoffEnd == 0 || backoff < sel.earliestBackoffEnd {
			sel.earliestBackoffEnd = backoff
		}
		sel.saturated = true
		return
	}
	inFlight := candidate.estimatedInFlight(sel.now, sel.othersShare)
	if len(candidate.inFlight) >= b.maxInFlightTo(candidate) || candidate.atCapacity(inFlight) {
		sel.saturated = true
		return
	}
	cost := sel.cost(candidate, inFlight)
	if unhealthy {
		sel.considerUnhealthy(candidate, cost)
		return
	}
	sel.available++
	if cost < sel.bestCost {
		sel.best, sel.bestCost = candidate, cost
	}
}

// considerUnhealthy compares an unhealthy endpoint with the best unhealthy one so far, and with the one whose probe is due first.
func (sel *selection) considerUnhealthy(e *endpoint, cost float64) {
	if cost < sel.bestUnhealthyCost {
		sel.bestUnhealthy, sel.bestUnhealthyCost = e, cost
	}
	if !e.health.probeDue(sel.now, sel.retryable) {
		return
	}
	if sel.probeCandidate == nil || e.health.nextProbeAt < sel.probeCandidate.health.nextProbeAt {
		sel.probeCandidate = e
	}
}

// maxInFlightTo returns how many attempts of this proxy may be in flight to an endpoint.
func (b *Balancer) maxInFlightTo(e *endpoint) int {
	share := maxShareHealthy
	if e.unhealthy() || e.health.consecutiveFailures > 0 {
		share = maxShareUnhealthy
	}
	return max(1, int(share*float64(b.options.MaxInFlight)))
}

// chooseCandidate chooses between the best healthy endpoint, a probe, and, if no endpoint is healthy, the best unhealthy one.
func (sel *selection) chooseCandidate(svc *service) *endpoint {
	switch {
	case sel.best == nil && !sel.hasHealthy:
		return sel.bestUnhealthy
	case sel.probeCandidate != nil && sel.mayProbe(svc):
		return sel.probeCandidate
	}
	return sel.best
}

// mayProbe reports whether the request may be used as a probe: it can be retried, or the last failed call at the endpoint certainly
// didn't run, or no retryable request has come recently. A request that has used an attempt already is never a probe.
func (sel *selection) mayProbe(svc *service) bool {
	switch {
	case sel.request.AttemptsUsed > 0:
		return false
	case sel.retryable:
		return sel.attemptsLeft > 1 && svc.budget.allows()
	}
	return sel.probeCandidate.health.lastFailureNotRun || !svc.sawRetryable || sel.now-svc.lastRetryableAt > retryableAbsence
}

// reject returns the decision to reject a request.
func reject(kind RejectionKind, after time.Duration) Decision {
	return Decision{Rejection: Rejection{Kind: kind, RetryAfter: after}}
}

// rejectWithoutEndpoint rejects a request that no endpoint can take: as Saturated if waiting may help, else with NoEndpoint.
func (sel *selection) rejectWithoutEndpoint() Decision {
	if !sel.saturated && !sel.hasHealthy {
		return reject(NoEndpoint, noEndpointRetryAfter)
	}
	after := sel.retryAfter()
	if sel.earliestBackoffEnd > 0 {
		after = max(minRetryAfter, min(after, sel.earliestBackoffEnd-sel.now))
	}
	return reject(Saturated, after)
}

// retryAfter estimates how long it takes until an endpoint has capacity again: half of the request's expected time.
func (sel *selection) retryAfter() time.Duration {
	return max(minRetryAfter, seconds(sel.workScale*sel.plan.unsampled.estimates.expected[1]/2))
}

// decide returns the decision to send the request to an endpoint, with a timeout by the plan; or rejects the request if less time is
// left than the endpoint's median, unless the endpoint's table is due to be refreshed.
func (sel *selection) decide(svc *service, e *endpoint) Decision {
	estimates := sel.plan.estimatesFor(e)
	left := sel.request.TimeLeft
	tooShort := estimates.known && left < sel.scaled(estimates.median)
	if tooShort && !svc.mayRefresh(sel.now, e) {
		return reject(DeadlineTooShort, 0)
	}
	decision := Decision{Endpoint: e.model, Timeout: left, UntilDeadline: true}
	if sel.hasRetryFor(svc, e) {
		timeout, untilDeadline := sel.plannedTimeout(e, estimates)
		if !untilDeadline && timeout+sel.scaled(sel.plan.unsampled.estimates.median) < left {
			decision.Timeout, decision.UntilDeadline = timeout, false
		}
	}
	decision.Attempt = Attempt{endpoint: e, kind: sel.plan.kind, affinityKey: sel.request.AffinityKey, workScale: sel.workScale, deadline: sel.now + left,
		expected: seconds(estimates.expected[sel.attemptsLeft]), probe: e.unhealthy(), usesRetryBudget: sel.request.MayHaveRun,
		afterTimeout: sel.request.AfterTimeout && estimates.known, refresh: tooShort}
	return decision
}

// hasRetryFor reports whether the request could be retried after a timeout: the retry budget allows it, and another healthy endpoint
// can take it.
func (sel *selection) hasRetryFor(svc *service, e *endpoint) bool {
	others := sel.available
	if !e.unhealthy() {
		others--
	}
	return sel.retryable && sel.attemptsLeft > 1 && others > 0 && svc.budget.allows()
}

// plannedTimeout returns the timeout of an attempt by the plan, or that it should last until the deadline. A probe's timeout
// depends on the pooled median of the service, as the endpoint's own calls say little about its recovery.
func (sel *selection) plannedTimeout(e *endpoint, own *estimates) (timeout time.Duration, untilDeadline bool) {
	if e.unhealthy() {
		pooled := &sel.plan.unsampled.estimates
		return seconds(probeTimeoutFactor * sel.workScale * pooled.median.Seconds()), !pooled.known
	}
	return sel.scaled(own.timeout[sel.attemptsLeft]), own.untilDeadline[sel.attemptsLeft]
}

// scaled converts a time for one workUnit to a time for this request.
func (sel *selection) scaled(d time.Duration) time.Duration {
	return time.Duration(sel.workScale * float64(d))
}

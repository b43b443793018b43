package balancer

import (
	"math"
	"slices"
	"time"
)

// Bounds of a selection.
const (
	maxShareHealthy      = 0.75 // of MaxInFlight, for one endpoint
	maxShareUnhealthy    = 0.5  // of it, for one whose calls are overdue or fail
	probeTimeoutFactor   = 3.0  // times the median, that a retryable probe may last
	minRetryAfter        = 50 * time.Millisecond
	noEndpointRetryAfter = 500 * time.Millisecond
)

// selection is the state of one Select.
type selection struct {
	now          time.Duration
	request      *Request
	plan         *callPlan
	attemptsLeft int       // this one included, as far as the plan looks ahead; 1 if the request isn't retryable
	workScale    float64   // the request's work in units
	prefixCost   float64   // s of prefill of its prefix
	preferred    *endpoint // of its affinity, by rendezvous hashing; nil: it has none
	lastServed   *endpoint // that served its affinity last
	retryable    bool
	othersShare  float64 // the mean share of an endpoint's capacity that other proxies take

	best, bestUnhealthy, probeCandidate *endpoint
	bestCost, bestUnhealthyCost         float64
	hasHealthy                          bool          // available or not; a request that isn't retryable waits for it
	available                           int           // healthy endpoints that would take the request
	earliestBackoffEnd                  time.Duration // 0: no endpoint is in backoff
	saturated                           bool          // an endpoint that may take the request is at capacity or in backoff
}

// Select decides where the next attempt of a request goes. Beside solving the plan it changes nothing that a later selection
// depends on: an attempt counts from Sent on.
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
		return sel.rejectAll()
	}
	decision := sel.decide(svc, e)
	decision.Attempt.route, decision.Attempt.routeName = route, r.Route.Name
	decision.Attempt.promptTokens, decision.Attempt.outputTokens = float64(r.NewTokens), float64(r.OutTokens)
	return decision
}

// newSelection predicts the request's work and brings the plan up to date.
func (b *Balancer) newSelection(svc *service, r *Request, route *routeWork, left int) selection {
	sel := selection{now: b.now, request: r, plan: svc.plan(kindOf(r.Route.Kind)), attemptsLeft: min(left, maxPlannedAttempts)}
	if sel.retryable = r.Retryable; !sel.retryable {
		sel.attemptsLeft = 1
	}
	work := svc.work.predict(sel.plan.kind, route, float64(r.NewTokens))
	sel.workScale = work / workUnit.Seconds()
	sel.plan.refresh(b.now, sel.attemptsLeft)
	return sel
}

// selectEndpoint selects from the group of versions whose turn it is, or from the other one if it has no healthy endpoint.
func (b *Balancer) selectEndpoint(sel *selection, svc *service) *endpoint {
	group := svc.selectGroup(sel.request.AffinityKey, sel.request.Route.Name)
	e := b.selectIn(sel, svc, group)
	if e != nil && !e.unhealthy() {
		return e
	}
	fallback := svc.fallbackGroup(group)
	if fallback == nil {
		return e
	}
	if other := b.selectIn(sel, svc, fallback); other != nil && (e == nil || !other.unhealthy()) {
		return other
	}
	return e
}

// selectIn selects from one group.
func (b *Balancer) selectIn(sel *selection, svc *service, group *versionGroup) *endpoint {
	sel.best, sel.bestUnhealthy, sel.probeCandidate, sel.preferred, sel.lastServed = nil, nil, nil, nil, nil
	sel.bestCost, sel.bestUnhealthyCost, sel.available, sel.hasHealthy = math.Inf(1), math.Inf(1), 0, false
	sel.othersShare = svc.load.expectedShare(b.now)
	b.findAffinity(sel, svc, group)
	b.scanCandidates(sel, group, group.candidates(svc, sel.plan, b.now))
	return sel.winner(svc)
}

// scanCandidates considers the candidates, and all endpoints of the group if none of the candidates takes the request.
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

// consider compares one endpoint with the best so far.
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

// considerUnhealthy compares an unhealthy endpoint with the best of those, and with the probe that is due first.
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

// maxInFlightTo bounds the attempts of this proxy at one endpoint.
func (b *Balancer) maxInFlightTo(e *endpoint) int {
	share := maxShareHealthy
	if e.unhealthy() || e.health.consecutiveFailures > 0 {
		share = maxShareUnhealthy
	}
	return max(1, int(share*float64(b.options.MaxInFlight)))
}

// winner decides between the best endpoint, a probe, and, where no healthy endpoint is left, the best unhealthy one.
func (sel *selection) winner(svc *service) *endpoint {
	switch {
	case sel.best == nil && !sel.hasHealthy:
		return sel.bestUnhealthy
	case sel.probeCandidate != nil && sel.mayProbe(svc):
		return sel.probeCandidate
	}
	return sel.best
}

// mayProbe reports whether the request may be risked as a probe: it can be retried, or no request comes that could be.
func (sel *selection) mayProbe(svc *service) bool {
	switch {
	case sel.request.AttemptsUsed > 0:
		return false
	case sel.retryable:
		return sel.attemptsLeft > 1 && svc.budget.allows()
	}
	return sel.probeCandidate.health.lastFailureNotRun || !svc.sawRetryable || sel.now-svc.lastRetryableAt > retryableAbsence
}

// reject returns the decision not to send a request.
func reject(kind RejectionKind, after time.Duration) Decision {
	return Decision{Rejection: Rejection{Kind: kind, RetryAfter: after}}
}

// rejectAll rejects a request that no endpoint takes.
func (sel *selection) rejectAll() Decision {
	if !sel.saturated && !sel.hasHealthy {
		return reject(NoEndpoint, noEndpointRetryAfter)
	}
	after := sel.retryAfter()
	if sel.earliestBackoffEnd > 0 {
		after = max(minRetryAfter, min(after, sel.earliestBackoffEnd-sel.now))
	}
	return reject(Saturated, after)
}

// retryAfter is about how long it takes until an endpoint has capacity again.
func (sel *selection) retryAfter() time.Duration {
	return max(minRetryAfter, seconds(sel.workScale*sel.plan.unsampled.estimates.expected[1]/2))
}

// decide sets the timeout of the attempt by the plan.
func (sel *selection) decide(svc *service, e *endpoint) Decision {
	estimates := sel.plan.estimatesFor(e)
	left := sel.request.TimeLeft
	if median := sel.scaled(estimates.median); estimates.known && left < median {
		return reject(DeadlineTooShort, 0)
	}
	decision := Decision{Endpoint: e.model, Timeout: left, UntilDeadline: true}
	if sel.hasRetryFor(svc, e) {
		timeout, untilDeadline := sel.plannedTimeout(e, estimates)
		if !untilDeadline && timeout+sel.scaled(sel.plan.unsampled.estimates.median) < left {
			decision.Timeout, decision.UntilDeadline = timeout, false
		}
	}
	decision.Attempt = Attempt{endpoint: e, kind: sel.plan.kind, affinityKey: sel.request.AffinityKey, workScale: sel.workScale,
		expected: seconds(estimates.expected[sel.attemptsLeft]), probe: e.unhealthy(), usesRetryBudget: sel.request.MayHaveRun,
		afterTimeout: sel.request.AfterTimeout && estimates.known}
	return decision
}

// hasRetryFor reports whether a timeout would leave the request a retry: one that the budget allows, at another endpoint.
func (sel *selection) hasRetryFor(svc *service, e *endpoint) bool {
	others := sel.available
	if !e.unhealthy() {
		others--
	}
	return sel.retryable && sel.attemptsLeft > 1 && others > 0 && svc.budget.allows()
}

// plannedTimeout returns the timeout of an attempt by the plan, or that it is to last until the deadline. A probe's timeout
// follows the other endpoints' median, as the endpoint's own calls say little of what to expect of it.
func (sel *selection) plannedTimeout(e *endpoint, own *estimates) (timeout time.Duration, untilDeadline bool) {
	if e.unhealthy() {
		pooled := &sel.plan.unsampled.estimates
		return seconds(probeTimeoutFactor * sel.workScale * pooled.median.Seconds()), !pooled.known
	}
	return sel.scaled(own.timeout[sel.attemptsLeft]), own.untilDeadline[sel.attemptsLeft]
}

// scaled converts a time in units of work to one of this request.
func (sel *selection) scaled(d time.Duration) time.Duration {
	return time.Duration(sel.workScale * float64(d))
}

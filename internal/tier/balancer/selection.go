package balancer

import (
	"math"
	"slices"
	"time"
)

// What bounds and tilts the choice.
const (
	capNormal    = 0.75 // of the proxy's slots, for one endpoint
	capSick      = 0.5  // of them, for one whose calls overrun or fail
	coldCharge   = 0.5  // of the expectation, at an endpoint that has just started
	tieCharge    = 0.03 // of it, so that proxies that know nothing don't all begin with the same endpoint
	warmShare    = 0.25 // of it, saved by an endpoint that has lately seen a subject
	prefixWeight = 1.5  // of the time to read a prefix again: reading it also delays others
	readDelays   = 0.5  // of that time, by which each request that runs there is delayed
	otherHolder  = 0.5  // of that, at the preferred endpoint where another one is known to hold the prefix
	probeTimes   = 3.0  // the median, that a retryable probe may last
	retryLeast   = 50 * time.Millisecond
	retryNothing = 500 * time.Millisecond // where there is no endpoint
)

// pick is a choice under way.
type pick struct {
	now       time.Duration
	request   *Request
	kind      *kind
	level     int     // attempts left, this one included
	scale     float64 // the request's work in units
	prefix    float64 // s to read its prefix again
	preferred *endpoint
	holder    *endpoint
	safe      bool
	usual     float64 // the share of slots that others take in the mean

	best, sick, probe  *endpoint
	bestCost, sickCost float64
	reserve            bool          // there is a healthy endpoint, free or not; a request that must not run twice waits for it
	open               int           // healthy endpoints that would take it
	waiting            time.Duration // the end of the first wait
	full               bool          // one that may take it is full or must be waited for
}

// Select decides where the next attempt of a request goes. It changes nothing that a later choice depends on, but for
// the plan: an attempt counts from Sent on.
func (s *Balancer) Select(now time.Duration, r Request) Decision {
	s.advance(now)
	svc := s.services[r.Service]
	if svc == nil {
		return refuse(NoEndpoint, retryNothing)
	}
	if r.Retryable && !r.MayHaveRun {
		svc.safeAt, svc.safeSeen = s.now, true
	}
	left := attemptsLeft(&r)
	if left < 1 || r.MayHaveRun && (!r.Retryable || !svc.budget.pays()) || r.TimeLeft <= 0 {
		return refuse(AttemptsExhausted, 0)
	}
	route := svc.work.route(r.Route.Name)
	p := pick{now: s.now, request: &r, kind: svc.kind(kindOf(r.Route.Kind)), level: min(left, mostAttempts)}
	if p.safe = r.Retryable; !p.safe {
		p.level = 1
	}
	work := svc.work.predict(p.kind.kind, route, float64(r.NewTokens))
	p.scale = work / workUnit.Seconds()
	p.kind.refresh(s.now, p.level)
	if s.inFlight >= s.options.MaxInFlight {
		return refuse(Saturated, p.retryAfter())
	}
	e := s.place(&p, svc)
	if e == nil {
		return p.nothing()
	}
	d := p.decide(svc, e)
	d.Attempt.route, d.Attempt.tokens, d.Attempt.out = route, float64(r.NewTokens), float64(r.OutTokens)
	return d
}

// place finds the endpoint in the group whose turn it is, else in the other one as far as that may take it.
func (s *Balancer) place(p *pick, svc *service) *endpoint {
	group := svc.pick(p.request.AffinityKey)
	e := s.placeIn(p, svc, group)
	if e != nil && !e.suspect() {
		return e
	}
	other := svc.other(group)
	if other == nil {
		return e
	}
	if o := s.placeIn(p, svc, other); o != nil && (e == nil || !o.suspect()) {
		return o
	}
	return e
}

func (s *Balancer) placeIn(p *pick, svc *service, g *group) *endpoint {
	p.best, p.sick, p.probe, p.preferred, p.holder = nil, nil, nil, nil, nil
	p.bestCost, p.sickCost, p.open, p.reserve = math.Inf(1), math.Inf(1), 0, false
	p.usual = svc.load.usual(s.now)
	s.prepare(p, svc, g)
	s.scan(p, svc, g)
	return p.chosen(svc)
}

func refuse(kind RejectionKind, after time.Duration) Decision {
	return Decision{Rejection: Rejection{Kind: kind, RetryAfter: after}}
}

// attemptsLeft is how many attempts the route's tries and the program's budget leave.
func attemptsLeft(r *Request) int {
	left := max(1, r.Route.MaxAttempts) - r.AttemptsUsed
	if r.AffordableAttempts > 0 {
		left = min(left, r.AffordableAttempts)
	}
	return left
}

// prepare finds out which endpoint holds what the request goes on from.
func (s *Balancer) prepare(p *pick, svc *service, g *group) {
	r := p.request
	if !r.Route.UsesAffinity || r.AffinityKey == 0 || len(g.ready) == 0 {
		return
	}
	p.preferred, p.holder = g.preferred(r.AffinityKey), s.holders.of(r.AffinityKey)
	if p.holder != nil && p.holder.service != svc {
		p.holder = nil
	}
	if p.kind.kind == streamCall {
		_, each := svc.work.reads.fit()
		p.prefix = prefixWeight * each * float64(r.PrefixTokens)
	}
	p.prefix = max(p.prefix, warmShare*p.scale*workUnit.Seconds())
}

// scan looks at the candidates, and at all endpoints of the group if none of these takes the request.
func (s *Balancer) scan(p *pick, svc *service, g *group) {
	list := g.candidates(svc, p.kind, s.now)
	for _, e := range list {
		s.consider(p, e)
	}
	if p.preferred != nil && len(list) < len(g.ready) {
		s.consider(p, p.preferred)
		if p.holder != nil {
			s.consider(p, p.holder)
		}
	}
	if p.best == nil && len(list) < len(g.ready) {
		for _, e := range g.ready {
			s.consider(p, e)
		}
	}
}

// consider weighs one endpoint.
func (s *Balancer) consider(p *pick, e *endpoint) {
	if !e.ready {
		return
	}
	suspect := e.suspect()
	if len(p.request.Excluded) > 0 && slices.Contains(p.request.Excluded, e.model.ID) {
		p.reserve = p.reserve || !suspect && !p.safe
		return
	}
	p.reserve = p.reserve || !suspect
	if wait := e.health.waitUntil; wait > p.now {
		if p.waiting == 0 || wait < p.waiting {
			p.waiting = wait
		}
		p.full = true
		return
	}
	running := e.running(p.now, p.usual)
	if len(e.out) >= s.cap(e) || e.full(running) {
		p.full = true
		return
	}
	cost := p.cost(e, running)
	if suspect {
		if cost < p.sickCost {
			p.sick, p.sickCost = e, cost
		}
		if e.health.mayProbe(p.now, p.safe) && (p.probe == nil || e.health.probeAt < p.probe.health.probeAt) {
			p.probe = e
		}
		return
	}
	p.open++
	if cost < p.bestCost {
		p.best, p.bestCost = e, cost
	}
}

// cap is how many calls the endpoint may hold of this proxy's slots.
func (s *Balancer) cap(e *endpoint) int {
	share := capNormal
	if e.suspect() || e.health.streak > 0 {
		share = capSick
	}
	return max(1, int(share*float64(s.options.MaxInFlight)))
}

// cost is the expected time at an endpoint with all charges, in seconds.
func (p *pick) cost(e *endpoint, running float64) float64 {
	f := p.kind.figures(e)
	expected := p.scale * f.expected[p.level]
	factor := 1 + e.crowd(running) + tieCharge*e.tieBreak
	if e.coldUntil > p.now {
		factor += coldCharge
	}
	cost := expected*factor + e.zoneCharge
	if p.request.OutTokens > 0 {
		usual := e.service.work.pace.perToken(pacePrior)
		cost += float64(p.request.OutTokens) * e.pace.perToken(usual) * factor
	}
	return cost + p.readAgain(e, running)
}

// readAgain charges what reading the prefix anew costs, to the request and to those that run there meanwhile: without
// these, a crowd makes requests leave the endpoints that hold their prefixes, and reading them adds to the crowd.
func (p *pick) readAgain(e *endpoint, running float64) float64 {
	charge := p.prefix
	if p.kind.kind == streamCall {
		charge *= 1 + readDelays*running
	}
	switch {
	case p.preferred == nil || e == p.holder, e == p.preferred && p.holder == nil:
		return 0
	case e == p.preferred:
		return otherHolder * charge
	}
	return charge
}

// chosen settles between the best endpoint, a probe, and the best of those that fail where no other is left.
func (p *pick) chosen(svc *service) *endpoint {
	switch {
	case p.best == nil && !p.reserve:
		return p.sick
	case p.probe != nil && p.mayProbe(svc):
		return p.probe
	}
	return p.best
}

// mayProbe tells whether the request may be risked: it can be sent again, or nothing comes that could.
func (p *pick) mayProbe(svc *service) bool {
	switch {
	case p.request.AttemptsUsed > 0:
		return false
	case p.safe:
		return p.level > 1 && svc.budget.pays()
	}
	return p.probe.health.ranNot || !svc.safeSeen || p.now-svc.safeAt > safeAbsent
}

// nothing refuses a request that no endpoint takes.
func (p *pick) nothing() Decision {
	if !p.full && !p.reserve {
		return refuse(NoEndpoint, retryNothing)
	}
	after := p.retryAfter()
	if p.waiting > 0 {
		after = max(retryLeast, min(after, p.waiting-p.now))
	}
	return refuse(Saturated, after)
}

// retryAfter is about how long it takes until a place is free.
func (p *pick) retryAfter() time.Duration {
	return max(retryLeast, seconds(p.scale*p.kind.fresh.figures.expected[1]/2))
}

// decide sets the time-out by the plan. A call is cut only where another attempt can be paid for, has an endpoint to go
// to and the time that it needs.
func (p *pick) decide(svc *service, e *endpoint) Decision {
	f := p.kind.figures(e)
	left := p.request.TimeLeft
	median := p.scaled(f.median)
	if f.known && left < median {
		return refuse(DeadlineTooShort, 0)
	}
	d := Decision{Endpoint: e.model, Timeout: left, UntilDeadline: true}
	others := p.open
	if !e.suspect() {
		others--
	}
	if p.safe && p.level > 1 && others > 0 && svc.budget.pays() {
		cut, runsOn := p.scaled(f.timeout[p.level]), f.runsOn[p.level]
		if e.suspect() {
			cut, runsOn = seconds(probeTimes*p.scale*p.kind.fresh.figures.median.Seconds()), !p.kind.fresh.figures.known
		}
		if !runsOn && cut+p.scaled(p.kind.fresh.figures.median) < left {
			d.Timeout, d.UntilDeadline = cut, false
		}
	}
	d.Attempt = Attempt{endpoint: e, kind: p.kind.kind, affinity: p.request.AffinityKey, scale: p.scale,
		expected: seconds(f.expected[p.level]), probe: e.suspect(), resend: p.request.MayHaveRun,
		restart: p.request.AfterTimeout && f.known}
	return d
}

func (p *pick) scaled(d time.Duration) time.Duration { return time.Duration(p.scale * float64(d)) }

package balancer

import (
	"slices"
	"time"
)

// Eligible reports whether an attempt may still be sent to its endpoint: by the newest list and versions, the endpoint is ready and
// its version takes requests.
func (b *Balancer) Eligible(a *Attempt) bool {
	return a.endpoint != nil && a.endpoint.listed && a.endpoint.ready
}

// Sent records that an attempt is being sent. The balancer keeps the pointer until Done.
func (b *Balancer) Sent(now time.Duration, a *Attempt) {
	b.advance(now)
	e := a.endpoint
	if e == nil || a.sent {
		return
	}
	a.sent, a.sentAt = true, b.now
	e.inFlight = append(e.inFlight, a)
	b.inFlight++
	e.service.plan(a.kind).statsFor(e)
	e.service.accrueTargetCredit(e, a.routeName)
	if a.usesRetryBudget {
		e.service.budget.spend()
	}
	if a.refresh {
		e.service.lastRefreshAt = b.now
	}
	if a.probe {
		e.health.probeSent(b.now, b.nextRandom())
	}
	b.lastServed.store(a.affinityKey, e)
}

// FirstEvent records the arrival of a stream's first event, and the load that the endpoint reported with it.
func (b *Balancer) FirstEvent(now time.Duration, a *Attempt, report Load) {
	b.advance(now)
	e := a.endpoint
	if !a.sent || a.firstEventSeen {
		return
	}
	a.firstEventSeen, a.firstEventAt = true, b.now
	e.recordLoad(b.now, report, len(e.inFlight))
	b.recordAnswer(a, b.now-a.sentAt)
}

// Done records the end of an attempt that was sent.
func (b *Balancer) Done(now time.Duration, a *Attempt, o Outcome) {
	b.advance(now)
	if !a.sent {
		return
	}
	b.removeInFlight(a, o.Load)
	a.endpoint.service.plan(a.kind).stale = true
	b.recordOutcome(a, o)
}

// removeInFlight removes an attempt from the counts of attempts in flight, and records the load that its response reported. A response
// reports the load with its head: that of a stream was recorded with its first event, and is old by the end.
func (b *Balancer) removeInFlight(a *Attempt, report Load) {
	e := a.endpoint
	a.sent = false
	if !a.firstEventSeen {
		e.recordLoad(b.now, report, len(e.inFlight)) // the report still includes the attempt
	}
	e.inFlight = slices.DeleteFunc(e.inFlight, func(other *Attempt) bool { return other == a })
	b.inFlight--
	if a.probe {
		e.health.probesInFlight--
	}
}

// recordOutcome updates health, tables and budget by the outcome of an attempt.
func (b *Balancer) recordOutcome(a *Attempt, o Outcome) {
	e := a.endpoint
	switch o.Kind {
	case Success:
		if e.service.budget.earn(); !a.firstEventSeen {
			b.recordAnswer(a, o.Elapsed)
		}
		b.recordOutputPace(a, o)
	case NotRun:
		b.recordRejection(a, o.Load)
	case Misdirected:
		e.health.backoffUntil = max(e.health.backoffUntil, b.now+misdirectedBackoff)
	case ConnectFailure:
		b.recordFailure(a, true)
	case ErrorStatus, IncompleteResponse:
		b.recordFailure(a, false)
	case TimedOut:
		b.recordTimeout(a, o)
	case Cancelled:
		e.addAbandoned(b.now, b.remainingTime(a, o))
	}
}

// recordAnswer adds the time of an answered call to the tables: until its first event or its complete response.
func (b *Balancer) recordAnswer(a *Attempt, took time.Duration) {
	e, svc := a.endpoint, a.endpoint.service
	plan := svc.plan(a.kind)
	if e.health.recordAnswer(a.sentAt) {
		plan.resetStats(e)
	}
	svc.lastAnswerAt = b.now
	svc.work.record(b.now, a, took.Seconds())
	units := b.toWorkUnits(a, took)
	if a.refresh {
		plan.refreshTables(e, units)
	}
	plan.statsFor(e).times.Add(b.now, units)
	plan.serviceTimes.Add(b.now, units)
	b.recordRetry(a, units)
	plan.stale = true
}

// toWorkUnits normalizes the time of a call for the tables: it divides by the call's currently predicted work, and multiplies by workUnit.
func (b *Balancer) toWorkUnits(a *Attempt, took time.Duration) time.Duration {
	work := a.endpoint.service.work.predict(a.kind, a.route, a.promptTokens)
	return seconds(took.Seconds() / work * workUnit.Seconds())
}

// recordRetry tells the planner how long a retry after a planned timeout took.
func (b *Balancer) recordRetry(a *Attempt, took time.Duration) {
	if a.afterTimeout {
		a.endpoint.service.plan(a.kind).planner.ObserveRetry(took, a.expected)
	}
}

// recordFailure records a failed call. A call that certainly did not run is left out of the service's table, as it says nothing about
// the other endpoints.
func (b *Balancer) recordFailure(a *Attempt, notRun bool) {
	e, plan := a.endpoint, a.endpoint.service.plan(a.kind)
	e.health.recordFailure(b.now, a.sentAt, notRun)
	plan.statsFor(e).times.AddFailed(b.now)
	if !notRun {
		plan.serviceTimes.AddFailed(b.now)
	}
}

// recordTimeout records a call that was abandoned at its timeout. The tables take its time as censored, since it would have taken
// longer, and the call may still be running. It counts as a failure only if it was a probe or overdue.
func (b *Balancer) recordTimeout(a *Attempt, o Outcome) {
	e, plan := a.endpoint, a.endpoint.service.plan(a.kind)
	e.addAbandoned(b.now, b.remainingTime(a, o))
	if a.firstEventSeen { // the time until the first event is in the tables already
		return
	}
	units := b.toWorkUnits(a, o.Elapsed)
	plan.statsFor(e).times.AddCensored(b.now, units)
	plan.serviceTimes.AddCensored(b.now, units)
	b.recordRetry(a, units)
	if estimates := plan.estimatesFor(e); a.probe || o.Elapsed >= max(minOverdue, seconds(a.workScale*estimates.overdueAfter.Seconds())) {
		e.health.recordFailure(b.now, a.sentAt, false)
	}
}

// recordRejection records that the endpoint rejected a call. The base of the backoff is about the time until one of the calls there
// ends: the median divided by the capacity.
func (b *Balancer) recordRejection(a *Attempt, report Load) {
	e, svc := a.endpoint, a.endpoint.service
	base, estimates := defaultBackoff.Seconds(), svc.plan(a.kind).estimatesFor(e)
	if estimates.known {
		base = max(minBackoff.Seconds(), a.workScale*estimates.median.Seconds()/float64(max(1, e.capacity())))
	}
	e.health.recordRejection(b.now, a.sentAt, base, b.nextRandom())
	if report.Capacity > 0 && report.Running >= report.Capacity {
		svc.load.queueLimitKnown, svc.load.queueLimit = true, report.Queued
	}
}

// recordOutputPace records the time per generated token of a complete stream.
func (b *Balancer) recordOutputPace(a *Attempt, o Outcome) {
	if !a.firstEventSeen || o.OutputTokens <= 1 {
		return
	}
	took, tokens := (b.now - a.firstEventAt).Seconds(), float64(o.OutputTokens)
	a.endpoint.pace.add(b.now, took, tokens)
	a.endpoint.service.work.pace.add(b.now, took, tokens)
}

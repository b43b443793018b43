package balancer

import (
	"slices"
	"time"
)

// lingerTimes is how many times its predicted whole time a call that was given up is taken to run, at most.
const lingerTimes = 1.0

// Eligible tells whether the endpoint of an attempt may still get it: by the newest list it is ready, and its version takes
// requests.
func (s *Balancer) Eligible(a *Attempt) bool {
	return a.endpoint != nil && a.endpoint.listed && a.endpoint.ready
}

// Sent tells that an attempt goes out. From now on until Done the scheduler keeps the pointer.
func (s *Balancer) Sent(now time.Duration, a *Attempt) {
	s.advance(now)
	e := a.endpoint
	if e == nil || a.sent {
		return
	}
	a.sent, a.sentAt = true, s.now
	e.out = append(e.out, a)
	s.inFlight++
	e.service.kind(a.kind).track(e)
	e.service.earnCredit(e)
	if a.resend {
		e.service.budget.spend()
	}
	if a.probe {
		e.health.probed(s.now, s.draw())
	}
	s.holders.set(a.affinity, e)
}

// FirstEvent tells that the first event of a stream has come, and what the endpoint told of its load.
func (s *Balancer) FirstEvent(now time.Duration, a *Attempt, told Load) {
	s.advance(now)
	e := a.endpoint
	if !a.sent || a.answered {
		return
	}
	a.answered, a.firstAt = true, s.now
	e.tell(s.now, told, len(e.out))
	s.answered(a, s.now-a.sentAt)
}

// Done tells the end of an attempt that was sent.
func (s *Balancer) Done(now time.Duration, a *Attempt, o Outcome) {
	s.advance(now)
	e := a.endpoint
	if !a.sent {
		return
	}
	a.sent = false
	e.tell(s.now, o.Load, len(e.out))
	e.out = slices.DeleteFunc(e.out, func(other *Attempt) bool { return other == a })
	s.inFlight--
	if a.probe {
		e.health.probes--
	}
	svc := e.service
	svc.kind(a.kind).stale = true
	switch o.Kind {
	case Success:
		if svc.budget.earn(); !a.answered {
			s.answered(a, o.Elapsed)
		}
		s.learnPace(a, o)
	case NotRun:
		s.refused(a, o.Load)
	case Misdirected:
		e.health.waitUntil = max(e.health.waitUntil, s.now+misdirectedFor)
	case ConnectFailure:
		s.lost(a, true)
	case ErrorStatus, IncompleteResponse:
		s.lost(a, false)
	case TimedOut:
		s.timedOut(a, o)
	case Cancelled:
		e.linger(s.now, s.rest(a, o))
	}
}

// answered enters a call that was answered into the tables.
func (s *Balancer) answered(a *Attempt, took time.Duration) {
	e, svc := a.endpoint, a.endpoint.service
	k := svc.kind(a.kind)
	if e.health.answer(a.sentAt) {
		k.renew(e)
	}
	svc.work.learn(s.now, a, took.Seconds())
	in := s.inUnits(a, took)
	k.track(e).table.Add(s.now, in)
	k.common.Add(s.now, in)
	s.resent(a, in)
	k.stale = true
}

// inUnits is the time of a call as the tables hold it: divided by its work as it is known now.
func (s *Balancer) inUnits(a *Attempt, took time.Duration) time.Duration {
	work := a.endpoint.service.work.predict(a.kind, a.route, a.tokens)
	return seconds(took.Seconds() / work * workUnit.Seconds())
}

// resent tells the plan how a restarted request fared.
func (s *Balancer) resent(a *Attempt, took time.Duration) {
	if a.restart {
		a.endpoint.service.kind(a.kind).planner.ObserveRetry(took, a.expected)
	}
}

// lost takes a failure.
func (s *Balancer) lost(a *Attempt, ranNot bool) {
	e, k := a.endpoint, a.endpoint.service.kind(a.kind)
	e.health.fail(s.now, a.sentAt, ranNot)
	k.track(e).table.AddFailed(s.now)
	if !ranNot { // else it says nothing of the others
		k.common.AddFailed(s.now)
	}
}

// timedOut takes a call that was cut: it took longer than that, and may still run.
func (s *Balancer) timedOut(a *Attempt, o Outcome) {
	e, k := a.endpoint, a.endpoint.service.kind(a.kind)
	e.linger(s.now, s.rest(a, o))
	if a.answered { // its first event is in the table
		return
	}
	in := s.inUnits(a, o.Elapsed)
	k.track(e).table.AddCensored(s.now, in)
	k.common.AddCensored(s.now, in)
	s.resent(a, in)
	if f := k.figures(e); a.probe || o.Elapsed >= max(overrunLeast, seconds(a.scale*f.overrun.Seconds())) {
		e.health.fail(s.now, a.sentAt, false)
	}
}

// refused takes a refusal. The first wait is about the time until a slot is free.
func (s *Balancer) refused(a *Attempt, told Load) {
	e, svc := a.endpoint, a.endpoint.service
	base, f := waitFirst.Seconds(), svc.kind(a.kind).figures(e)
	if f.known {
		base = max(waitLeast.Seconds(), a.scale*f.median.Seconds()/float64(max(1, e.slots())))
	}
	e.health.refuse(s.now, a.sentAt, base, s.draw())
	if told.Capacity > 0 && told.Running >= told.Capacity {
		svc.load.known, svc.load.queued = true, told.Queued
	}
}

// rest is how long a call that was given up is taken to run on.
func (s *Balancer) rest(a *Attempt, o Outcome) time.Duration {
	svc := a.endpoint.service
	whole := svc.work.predict(a.kind, a.route, a.tokens)
	whole += a.out * a.endpoint.pace.perToken(svc.work.pace.perToken(pacePrior))
	return max(0, seconds(lingerTimes*whole)-o.Elapsed)
}

// learnPace learns from a stream that ended whole how fast tokens come.
func (s *Balancer) learnPace(a *Attempt, o Outcome) {
	if !a.answered || o.Tokens <= 1 {
		return
	}
	took, tokens := (s.now - a.firstAt).Seconds(), float64(o.Tokens)
	a.endpoint.pace.add(s.now, took, tokens)
	a.endpoint.service.work.pace.add(s.now, took, tokens)
}

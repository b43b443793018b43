package balancer

import (
	"slices"
	"time"
)

// Parameters of the estimated load at endpoints.
const (
	reportHalfLife         = time.Second           // of the difference between an endpoint's last report and the service's mean
	decayInterval          = 25 * time.Millisecond // between updates of a decayed report
	meanHalfLife           = 4 * time.Second       // of the mean, while no reports come
	newReportWeight        = 0.1                   // of a new report in the mean
	congestionPenalty      = 1.0                   // fraction of the expected time that is added at full capacity
	unknownCapacityPenalty = 0.25                  // the same, for each call in flight where the capacity is unknown
	assumedQueueShare      = 0.5                   // queue limit as a fraction of the capacity, until a rejection shows the real one
	abandonedRunFactor     = 1.0                   // multiple of its predicted time that an abandoned call is assumed to run in all
)

// load holds an endpoint's reported load, and this proxy's abandoned calls that may still run there.
type load struct {
	othersInFlight float64 // calls of other proxies, from the last report
	reportedAt     time.Duration
	reported       bool
	decayed        float64 // othersInFlight, decayed towards the mean until decayedAt
	decayedAt      time.Duration
	capacity       int             // from the last report; 0: none yet
	abandonedUntil []time.Duration // when each abandoned call is assumed to end
}

// serviceLoad aggregates the load reports of a service's endpoints.
type serviceLoad struct {
	othersShare     float64 // mean share of an endpoint's capacity that other proxies take
	updatedAt       time.Duration
	queueLimit      int // queue length that an endpoint reported with its rejection of a call, at full capacity
	queueLimitKnown bool
}

// capacity returns how many calls the endpoint processes concurrently; 0: unknown.
func (e *endpoint) capacity() int {
	if e.load.capacity > 0 {
		return e.load.capacity
	}
	return e.model.Capacity
}

// recordLoad records the load that an endpoint reported, which includes own, the number of this proxy's calls there.
func (e *endpoint) recordLoad(now time.Duration, report Load, own int) {
	if report.Capacity <= 0 {
		return
	}
	l, mean := &e.load, &e.service.load
	l.othersInFlight, l.reportedAt, l.reported = float64(max(0, report.Running+report.Queued-own)), now, true
	l.capacity = report.Capacity
	l.decayed, l.decayedAt = l.othersInFlight, now
	mean.othersShare = mean.expectedOthersShare(now)
	mean.othersShare += newReportWeight * (l.othersInFlight/float64(report.Capacity) - mean.othersShare)
	mean.updatedAt = now
}

// expectedOthersShare returns the mean share of an endpoint's capacity that other proxies take, decayed since the last report.
func (m *serviceLoad) expectedOthersShare(now time.Duration) float64 {
	return m.othersShare * decay(now-m.updatedAt, meanHalfLife)
}

// estimatedInFlight estimates the calls at the endpoint: the proxy's own, abandoned ones that may still run, and those of other
// proxies. othersShare is the mean share of an endpoint's capacity that other proxies take.
func (e *endpoint) estimatedInFlight(now time.Duration, othersShare float64) float64 {
	l := &e.load
	others := othersShare * float64(e.capacity())
	if l.reported {
		if now-l.decayedAt >= decayInterval {
			l.decayed, l.decayedAt = others+(l.othersInFlight-others)*decay(now-l.reportedAt, reportHalfLife), now
		}
		others = l.decayed
	}
	abandoned := 0
	for _, until := range l.abandonedUntil {
		if until > now {
			abandoned++
		}
	}
	return float64(len(e.inFlight)+abandoned) + others
}

// congestion returns how much the calls in flight at the endpoint add to the expected time of another call, as a fraction of that time.
func (e *endpoint) congestion(inFlight float64) float64 {
	capacity := float64(e.capacity())
	if capacity <= 0 {
		return unknownCapacityPenalty * inFlight
	}
	return congestionPenalty*inFlight/capacity + max(0, inFlight+1-capacity)/capacity
}

// atCapacity reports whether the endpoint would reject another call with that many in flight.
func (e *endpoint) atCapacity(inFlight float64) bool {
	capacity := e.capacity()
	if capacity <= 0 {
		return false
	}
	queue := max(1, int(assumedQueueShare*float64(capacity)))
	if e.service.load.queueLimitKnown {
		queue = e.service.load.queueLimit
	}
	return inFlight >= float64(capacity+queue)
}

// addAbandoned counts an abandoned call as still running for the remaining time.
func (e *endpoint) addAbandoned(now, remaining time.Duration) {
	e.load.abandonedUntil = slices.DeleteFunc(e.load.abandonedUntil, func(until time.Duration) bool { return until <= now })
	if remaining > 0 {
		e.load.abandonedUntil = append(e.load.abandonedUntil, now+remaining)
	}
}

// remainingTime returns how much longer an abandoned call is assumed to run, at most until its deadline, at which its endpoint stops.
func (b *Balancer) remainingTime(a *Attempt, o Outcome) time.Duration {
	svc := a.endpoint.service
	total := svc.work.predict(a.kind, a.route, a.promptTokens)
	total += a.outputTokens * a.endpoint.pace.perToken(svc.work.pace.perToken(priorSecondsPerOutputToken))
	return max(0, min(seconds(abandonedRunFactor*total)-o.Elapsed, a.deadline-b.now))
}

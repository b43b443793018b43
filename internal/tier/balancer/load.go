package balancer

import (
	"slices"
	"time"
)

// What is assumed of the load at endpoints.
const (
	reportHalfLife         = time.Second // of the difference between a report and the service's mean
	decayInterval          = 25 * time.Millisecond
	meanHalfLife           = 4 * time.Second // of the mean, without new reports
	meanWeight             = 0.1             // of the newest report in the mean
	congestionPenalty      = 1.0             // of the expected time, at full capacity
	unknownCapacityPenalty = 0.25            // of it, for each call in flight where the capacity is unknown
	assumedQueueShare      = 0.5             // of the capacity, that may be queued at an endpoint until a rejection shows its limit
	abandonedRunFactor     = 1.0             // times its predicted time, that an abandoned call is taken to run at most
)

// load is what is known of the calls in flight at an endpoint.
type load struct {
	othersInFlight float64 // calls of other proxies, by the last report
	reportedAt     time.Duration
	reported       bool
	decayed        float64 // othersInFlight as estimated at decayedAt
	decayedAt      time.Duration
	capacity       int             // by the last report; 0: none came
	abandonedUntil []time.Duration // until when each abandoned call is taken to run
}

// serviceLoad is the mean load at a service's endpoints.
type serviceLoad struct {
	othersShare     float64 // of the capacity, taken by other proxies
	updatedAt       time.Duration
	queueLimit      int // calls that were queued at an endpoint that rejected one at full capacity
	queueLimitKnown bool
}

// capacity is how many calls the endpoint works on at once; 0: unknown.
func (e *endpoint) capacity() int {
	if e.load.capacity > 0 {
		return e.load.capacity
	}
	return e.model.Capacity
}

// recordLoad takes the endpoint's report of its load, in which the proxy's own calls are included.
func (e *endpoint) recordLoad(now time.Duration, report Load, own int) {
	if report.Capacity <= 0 {
		return
	}
	l, mean := &e.load, &e.service.load
	l.othersInFlight, l.reportedAt, l.reported = float64(max(0, report.Running+report.Queued-own)), now, true
	l.capacity = report.Capacity
	l.decayed, l.decayedAt = l.othersInFlight, now
	mean.othersShare = mean.expectedShare(now)
	mean.othersShare += meanWeight * (l.othersInFlight/float64(report.Capacity) - mean.othersShare)
	mean.updatedAt = now
}

// expectedShare is the mean share of an endpoint's capacity that other proxies take.
func (m *serviceLoad) expectedShare(now time.Duration) float64 {
	return m.othersShare * decay(now-m.updatedAt, meanHalfLife)
}

// estimatedInFlight estimates the calls at the endpoint: the proxy's own, abandoned ones that may still run, and those of other
// proxies, which take othersShare of its capacity in the mean.
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

// congestion is the share of the expected time that calls in flight there add to it.
func (e *endpoint) congestion(inFlight float64) float64 {
	capacity := float64(e.capacity())
	if capacity <= 0 {
		return unknownCapacityPenalty * inFlight
	}
	return congestionPenalty*inFlight/capacity + max(0, inFlight+1-capacity)/capacity
}

// atCapacity reports whether the endpoint would reject a call with so many in flight there.
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

// addAbandoned counts an abandoned call as running for some time more.
func (e *endpoint) addAbandoned(now, remaining time.Duration) {
	e.load.abandonedUntil = slices.DeleteFunc(e.load.abandonedUntil, func(until time.Duration) bool { return until <= now })
	if remaining > 0 {
		e.load.abandonedUntil = append(e.load.abandonedUntil, now+remaining)
	}
}

// remainingTime is how long an abandoned call is taken to run on.
func (b *Balancer) remainingTime(a *Attempt, o Outcome) time.Duration {
	svc := a.endpoint.service
	total := svc.work.predict(a.kind, a.route, a.promptTokens)
	total += a.outputTokens * a.endpoint.pace.perToken(svc.work.pace.perToken(priorSecondsPerOutputToken))
	return max(0, seconds(abandonedRunFactor*total)-o.Elapsed)
}

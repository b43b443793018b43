package control

import (
	"math"
	"slices"
	"time"
)

const (
	// retryTimePrior is the assumed ratio of actual to planned time of a retry before any has been observed; retryPriorWeight is the
	// planned time, in seconds, for which this assumption counts.
	retryTimePrior   = 4.0
	retryPriorWeight = 2.0
	// retryTimeDecay is the factor applied to the sums of earlier retries with each new one.
	retryTimeDecay = 0.95
	// costTolerance is the difference, in seconds, below which two expected times count as equal.
	costTolerance = 1e-12
	// poolInterval is the time after which pooled tables are recomputed even without a new outcome.
	poolInterval = time.Second
)

// bestRestart is the inner minimum of the recursion (see the package documentation) for one endpoint; next is the expected time of the
// attempts after this one. It returns the least expected time in seconds, and the bucket at whose bound to restart the attempt; the last
// bucket means no restart. Failed calls cost the time of the slowest bucket, but no time-out waits for them.
func (t *latencyTable) bestRestart(bounds []float64, next float64) (best float64, stop int) {
	last := len(bounds) - 1
	done := t.failed / t.total
	sum := done * bounds[last]
	best, stop = math.Inf(1), last
	for i, bound := range bounds {
		p := t.counts[i] / t.total
		sum, done = sum+bound*p, done+p
		if p == 0 && i < last {
			continue
		}
		cost := sum
		if i < last && done < 1-1e-9 {
			cost += (1 - done) * (bound + next)
		}
		// Prefer the longer wait if times are equal: a restart that gains nothing costs the destination work.
		if cost <= best+costTolerance {
			best, stop = min(best, cost), i
		}
	}
	if sum <= best+costTolerance {
		stop = last
	}
	return best, stop
}

// restartPlan holds the expected time in seconds for each number of attempts left, over the endpoints of one destination. The time for no
// attempts left is infinite.
type restartPlan struct{ expected []float64 }

// solve computes the plan. It leaves out endpoints that accept no calls now: a call must not be cut off in favour of an endpoint that is
// faster but unavailable. If no endpoint accepts calls, it plans as if all did. The drawback: an endpoint that was left out may become
// available again before the plan is next solved.
func (p *restartPlan) solve(bounds []float64, endpoints []*endpointState, levels int, penalty float64, now time.Duration) {
	p.expected = append(p.expected[:0], math.Inf(1))
	accepting := func(e *endpointState) bool {
		return e.known() && e.state == Ready && e.route.waitUntil <= now && e.route.retryAt <= now
	}
	noneAccepting := !slices.ContainsFunc(endpoints, accepting)
	for level := 1; level <= levels; level++ {
		best := math.Inf(1)
		for _, endpoint := range endpoints {
			if accepting(endpoint) || noneAccepting && endpoint.known() && endpoint.state == Ready {
				cost, _ := endpoint.pooled.bestRestart(bounds, penalty*p.expected[level-1])
				best = min(best, cost)
			}
		}
		p.expected = append(p.expected, best)
	}
}

// known reports whether the endpoint's pooled table has enough calls to plan with.
func (e *endpointState) known() bool { return e.pooled.total >= minTableCalls-1e-6 }

// poolLatencies computes the pooled tables of dest's endpoints. A table holds the calls to the endpoint itself. If these are fewer than
// minTableCalls, calls to its destination make up for the missing ones, then calls of this sender to any destination, shifted to match
// the destination's median. So the plan can include even an endpoint that is called once an hour.
func (s *Sender) poolLatencies(dest *destinationState) {
	near, far := &dest.latencies, &s.allLatencies
	near.decay(s.now)
	shift := 0 // distance in buckets from the sender's median to the destination's, scaled down if the destination has few calls
	if far.total >= minTableCalls {
		distance := math.Log(near.quantile(s.bounds, 0.5)/far.quantile(s.bounds, 0.5)) / math.Log(bucketRatio)
		shift = int(math.Round(distance * near.total / (near.total + minTableCalls)))
	}
	for _, endpoint := range dest.endpoints {
		own, pooled := &endpoint.own, &endpoint.pooled
		own.decay(s.now)
		missing := max(0, minTableCalls-own.total)
		nearWeight := min(1, missing/max(near.total, 1e-9))
		farWeight := max(0, missing-near.total) / max(far.total, minTableCalls)
		*pooled = latencyTable{counts: append(pooled.counts[:0], own.counts...), failed: own.failed + nearWeight*near.failed,
			total: own.total + nearWeight*near.total + farWeight*far.total}
		for i, count := range far.counts {
			pooled.counts[i] += nearWeight * near.counts[i]
			pooled.counts[min(max(i+shift, 0), len(s.bounds)-1)] += farWeight * count
		}
	}
}

// refreshPlan updates dest's pooled tables and plan if they are out of date.
func (s *Sender) refreshPlan(dest *destinationState) {
	if dest.poolStale || s.now-dest.pooledAt > poolInterval {
		dest.poolStale, dest.pooledAt, dest.solvedStep = false, s.now, 0
		s.poolLatencies(dest)
	}
	if dest.solvedStep != s.steps {
		dest.solvedStep = s.steps
		dest.plan.solve(s.bounds, dest.endpoints, s.settings.MaxAttempts, s.retryPenalty(), s.now)
	}
}

// observeRetry records the time of a retry that followed a time-out set by the plan, and the time that the plan had expected, both in
// seconds.
func (s *Sender) observeRetry(took, expected float64) {
	s.retryTimes[0], s.retryTimes[1] = s.retryTimes[0]*retryTimeDecay+took, s.retryTimes[1]*retryTimeDecay+expected
}

// retryPenalty returns the ratio of the time that retries took to the time that the plan expected, at least 1. The recursion assumes
// independent attempts; if a message itself is slow to process, a restart repeats its work, and the penalty keeps the plan from useless
// restarts.
func (s *Sender) retryPenalty() float64 {
	return max(1, (s.retryTimes[0]+retryTimePrior*retryPriorWeight)/(s.retryTimes[1]+retryPriorWeight))
}

package control

import (
	"math"
	"slices"
	"time"
)

const (
	// retryTimePrior is how many times longer than planned a retry is taken to need before any is seen; retryPriorWeight is the seconds of
	// planned time that this counts for.
	retryTimePrior   = 4.0
	retryPriorWeight = 2.0
	// retryTimeDecay is what is left of the older retries with each new one.
	retryTimeDecay = 0.95
	// costTolerance, in seconds, is the difference below which two expected times are a tie.
	costTolerance = 1e-12
	// poolInterval is the time after which pooled tables are made anew also without a new outcome.
	poolInterval = time.Second
)

// bestRestart is the inner minimum of the recursion (see the package's documentation) for one endpoint, where next is the expected time
// of the attempts after this one: the least expected time in seconds, and the bucket at whose bound the attempt is to be restarted. The
// last bucket means that it runs on. Failed calls cost the slowest time, but no time-out waits for them.
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
		// Ties go to the longer wait: a restart that gains nothing costs the destination work.
		if cost <= best+costTolerance {
			best, stop = min(best, cost), i
		}
	}
	if sum <= best+costTolerance {
		stop = last
	}
	return best, stop
}

// restartPlan is the expected time in seconds by the number of attempts left, over the endpoints of one destination. Level 0 stands for
// no attempt left, and is infinite.
type restartPlan struct{ expected []float64 }

// solve leaves out the endpoints that take nothing now: a call must not be cut off for the sake of one that is faster, but shut. Where
// none takes anything it plans as if all did. It hurts where an endpoint that was left out opens again in the meantime.
func (p *restartPlan) solve(bounds []float64, endpoints []*endpointState, levels int, penalty float64, now time.Duration) {
	p.expected = append(p.expected[:0], math.Inf(1))
	open := func(e *endpointState) bool {
		return e.known() && e.state == Ready && e.route.waitUntil <= now && e.route.retryAt <= now
	}
	noneAccepting := !slices.ContainsFunc(endpoints, open)
	for level := 1; level <= levels; level++ {
		best := math.Inf(1)
		for _, endpoint := range endpoints {
			if open(endpoint) || noneAccepting && endpoint.known() && endpoint.state == Ready {
				cost, _ := endpoint.pooled.bestRestart(bounds, penalty*p.expected[level-1])
				best = min(best, cost)
			}
		}
		p.expected = append(p.expected, best)
	}
}

// known tells whether the endpoint's pooled table holds enough to plan by.
func (e *endpointState) known() bool { return e.pooled.total >= minTableCalls-1e-6 }

// poolLatencies makes the pooled tables of dest's endpoints, from near evidence to far: an endpoint's own calls, then those of its
// destination, then all calls of this sender, as a shape at that destination's pace. What is farther fills up only what the nearer lacks
// of a table: the recursion decides also where an endpoint is called once an hour.
func (s *Sender) poolLatencies(dest *destinationState) {
	near, far := &dest.latencies, &s.allLatencies
	near.decay(s.now)
	shift := 0 // buckets from the sender's median to the destination's, as far as the latter is known
	if far.total >= minTableCalls {
		distance := math.Log(near.quantile(s.bounds, 0.5)/far.quantile(s.bounds, 0.5)) / math.Log(bucketRatio)
		shift = int(math.Round(distance * near.total / (near.total + minTableCalls)))
	}
	for _, endpoint := range dest.endpoints {
		own, pooled := &endpoint.own, &endpoint.pooled
		own.decay(s.now)
		lack := max(0, minTableCalls-own.total)
		nearWeight := min(1, lack/max(near.total, 1e-9))
		farWeight := max(0, lack-near.total) / max(far.total, minTableCalls)
		*pooled = latencyTable{counts: append(pooled.counts[:0], own.counts...), failed: own.failed + nearWeight*near.failed,
			total: own.total + nearWeight*near.total + farWeight*far.total}
		for i, count := range far.counts {
			pooled.counts[i] += nearWeight * near.counts[i]
			pooled.counts[min(max(i+shift, 0), len(s.bounds)-1)] += farWeight * count
		}
	}
}

// refreshPlan brings dest's pooled tables and plan up to this Step, if they are not.
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

// observeRetry takes how long a retry took that followed a time-out of the plan's, and what the plan had expected, both in seconds.
func (s *Sender) observeRetry(took, expected float64) {
	s.retryTimes[0], s.retryTimes[1] = s.retryTimes[0]*retryTimeDecay+took, s.retryTimes[1]*retryTimeDecay+expected
}

// retryPenalty is how many times longer than the plan expected retries took. The recursion assumes independent attempts; where a message
// is slow of itself, a restart repeats its work, and this keeps the plan from restarting for nothing.
func (s *Sender) retryPenalty() float64 {
	return max(1, (s.retryTimes[0]+retryTimePrior*retryPriorWeight)/(s.retryTimes[1]+retryPriorWeight))
}

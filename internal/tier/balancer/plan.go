package balancer

import (
	"slices"
	"time"

	"mastusher/control"
)

// How the plan of a service is kept.
const (
	maxCallTime         = 16 * workUnit // slower calls, and failures, count as this
	maxPlannedAttempts  = 4             // attempts that a plan looks ahead
	solveInterval       = 50 * time.Millisecond
	solveIntervalTables = 64 // tables above which the interval grows in proportion
	maxPlanAge          = time.Second
	minTableCalls       = 0.02 // decayed calls of a table, below which it is dropped
	overdueFactor       = 2.5  // times the 90th percentile, after which a call is overdue
)

// estimates is what a solved plan says of an endpoint, in units of work.
type estimates struct {
	expected      [maxPlannedAttempts + 1]float64 // s, by attempts left
	timeout       [maxPlannedAttempts + 1]time.Duration
	untilDeadline [maxPlannedAttempts + 1]bool // a timeout wouldn't pay
	median        time.Duration
	overdueAfter  time.Duration
	known         bool // there are enough calls for an estimate
}

// endpointStats is the table of one endpoint for one kind of call.
type endpointStats struct {
	endpoint  *endpoint
	times     *control.LatencyTable
	estimates estimates
}

// callPlan is the tables of a service for one kind of call, and the plan solved from them.
type callPlan struct {
	kind            callKind
	planner         *control.Planner
	serviceTimes    *control.LatencyTable // all calls of the service
	unsampled       endpointStats         // stands for the endpoints without a table
	sampled         []*endpointStats
	poolTables      []*control.LatencyTable // of the last refresh; kept for their memory
	solveTables     []*control.LatencyTable
	maxAttemptsLeft int  // the most attempts that a request has had left
	stale           bool // calls have ended since it was solved
	changed         bool // the list or maxAttemptsLeft has changed since
	solvedAt        time.Duration
}

// newCallPlan returns a plan without any call, which the first refresh solves.
func newCallPlan(kind callKind) *callPlan {
	planner := control.NewPlanner(maxCallTime)
	p := &callPlan{kind: kind, planner: planner, serviceTimes: planner.NewTable()}
	p.unsampled.times = planner.NewTable()
	return p
}

// statsFor returns the endpoint's table, which it creates if necessary.
func (p *callPlan) statsFor(e *endpoint) *endpointStats {
	if e.stats[p.kind] == nil {
		stats := &endpointStats{endpoint: e, times: p.planner.NewTable(), estimates: p.unsampled.estimates}
		e.stats[p.kind] = stats
		p.sampled = append(p.sampled, stats)
	}
	return e.stats[p.kind]
}

// estimatesFor is what the plan says of an endpoint.
func (p *callPlan) estimatesFor(e *endpoint) *estimates {
	if stats := e.stats[p.kind]; stats != nil {
		return &stats.estimates
	}
	return &p.unsampled.estimates
}

// needsSolve reports whether the plan is to be solved again, for requests with so many attempts left.
func (p *callPlan) needsSolve(now time.Duration, attemptsLeft int) bool {
	if attemptsLeft > p.maxAttemptsLeft {
		p.maxAttemptsLeft, p.changed = attemptsLeft, true
	}
	age, interval := now-p.solvedAt, solveInterval
	if n := len(p.sampled); n > solveIntervalTables {
		interval = solveInterval * time.Duration(n) / solveIntervalTables
	}
	return p.changed || p.stale && age >= interval || age >= max(maxPlanAge, interval)
}

// refresh solves the plan again where that is due. Unhealthy endpoints and those in backoff take no part in the solution.
func (p *callPlan) refresh(now time.Duration, attemptsLeft int) {
	if !p.needsSolve(now, attemptsLeft) {
		return
	}
	p.stale, p.changed, p.solvedAt = false, false, now
	p.evict(now)
	p.poolTables = append(p.poolTables[:0], p.unsampled.times)
	p.solveTables = append(p.solveTables[:0], p.unsampled.times)
	for _, stats := range p.sampled {
		stats.endpoint.detectOverdue(now, p.kind, &stats.estimates)
		p.poolTables = append(p.poolTables, stats.times)
		if stats.endpoint.accepting(now) && !stats.endpoint.unhealthy() {
			p.solveTables = append(p.solveTables, stats.times)
		}
	}
	p.planner.Pool(now, p.serviceTimes, p.poolTables)
	solution := p.planner.Solve(now, p.solveTables, p.maxAttemptsLeft)
	p.unsampled.estimates.update(solution, p.unsampled.times, p.maxAttemptsLeft)
	for _, stats := range p.sampled {
		stats.estimates.update(solution, stats.times, p.maxAttemptsLeft)
	}
}

// evict drops the tables of endpoints that have left the list, and those whose calls have decayed to next to nothing.
func (p *callPlan) evict(now time.Duration) {
	p.sampled = slices.DeleteFunc(p.sampled, func(stats *endpointStats) bool {
		drop := len(stats.endpoint.inFlight) == 0 && (!stats.endpoint.listed || stats.times.Count(now) < minTableCalls)
		if drop && stats.endpoint.stats[p.kind] == stats {
			stats.endpoint.stats[p.kind] = nil
		}
		return drop
	})
}

// resetStats gives a readmitted endpoint an empty table: its calls from before the ejection say little of it now.
func (p *callPlan) resetStats(e *endpoint) {
	if stats := e.stats[p.kind]; stats != nil {
		stats.times = p.planner.NewTable()
		p.stale = true
	}
}

// update reads what the solution says of a table, for requests with up to maxAttemptsLeft attempts.
func (f *estimates) update(solution control.Plan, table *control.LatencyTable, maxAttemptsLeft int) {
	f.known = table.Known()
	if !f.known {
		*f = estimates{}
		for i := range f.expected {
			f.expected[i], f.untilDeadline[i] = workUnit.Seconds(), true
		}
		return
	}
	for left := 1; left <= maxAttemptsLeft; left++ {
		expected, timeout, untilDeadline := solution.Attempt(table, left)
		f.expected[left], f.timeout[left], f.untilDeadline[left] = expected.Seconds(), timeout, untilDeadline
	}
	f.median = table.Quantile(0.5)
	f.overdueAfter = time.Duration(overdueFactor * float64(table.Quantile(0.9)))
}

package balancer

import (
	"slices"
	"time"

	"mastusher/control"
)

// Parameters of a service's plan.
const (
	maxCallTime         = 16 * workUnit         // time that failed calls and slower ones count as
	maxPlannedAttempts  = 4                     // attempts of a request that a plan covers
	solveInterval       = 50 * time.Millisecond // the least time between solutions, while the list stays
	solveIntervalTables = 64                    // number of tables above which solveInterval grows in proportion
	maxPlanAge          = time.Second           // after which a plan is solved again even if no call has ended
	minTableCalls       = 0.02                  // decayed number of calls below which a table is dropped
	overdueFactor       = 2.5                   // multiple of the 90th percentile after which a call is overdue
)

// estimates holds what a solved plan predicts for an endpoint. The times are those of a request whose work is one workUnit.
type estimates struct {
	expected      [maxPlannedAttempts + 1]float64 // in seconds, by attempts left
	timeout       [maxPlannedAttempts + 1]time.Duration
	untilDeadline [maxPlannedAttempts + 1]bool // a timeout wouldn't shorten the expected time
	median        time.Duration
	overdueAfter  time.Duration
	known         bool // there are enough calls for estimates
}

// endpointStats is the table of one endpoint for one kind of call.
type endpointStats struct {
	endpoint  *endpoint
	times     *control.LatencyTable
	estimates estimates
}

// callPlan holds the tables of a service for one kind of call, and the plan solved from them.
type callPlan struct {
	kind            callKind
	planner         *control.Planner
	serviceTimes    *control.LatencyTable   // all calls of the service
	unsampled       endpointStats           // for all endpoints without a table of their own; pooled from the service's calls
	sampled         []*endpointStats        // of the endpoints that have a table
	poolTables      []*control.LatencyTable // scratch slices of refresh, reused
	solveTables     []*control.LatencyTable
	maxAttemptsLeft int  // the most attempts left of any request so far
	stale           bool // calls have ended since the plan was solved
	changed         bool // the list, the versions or maxAttemptsLeft have changed since then
	solvedAt        time.Duration
}

// newCallPlan returns a plan without calls; the first refresh solves it.
func newCallPlan(kind callKind) *callPlan {
	planner := control.NewPlanner(maxCallTime)
	p := &callPlan{kind: kind, planner: planner, serviceTimes: planner.NewTable()}
	p.unsampled.times = planner.NewTable()
	return p
}

// statsFor returns the endpoint's table and estimates, and creates them if necessary.
func (p *callPlan) statsFor(e *endpoint) *endpointStats {
	if e.stats[p.kind] == nil {
		stats := &endpointStats{endpoint: e, times: p.planner.NewTable(), estimates: p.unsampled.estimates}
		e.stats[p.kind] = stats
		p.sampled = append(p.sampled, stats)
	}
	return e.stats[p.kind]
}

// estimatesFor returns the estimates of an endpoint: its own, or the pooled ones if it has no table.
func (p *callPlan) estimatesFor(e *endpoint) *estimates {
	if stats := e.stats[p.kind]; stats != nil {
		return &stats.estimates
	}
	return &p.unsampled.estimates
}

// needsSolve reports whether the plan must be solved again before a request with attemptsLeft attempts can use it.
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

// refresh solves the plan again if necessary. Unhealthy endpoints and those in backoff are left out of the solution.
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

// evict drops the tables of endpoints that have left the list, and tables with fewer than minTableCalls calls; but none of an endpoint
// with attempts in flight.
func (p *callPlan) evict(now time.Duration) {
	p.sampled = slices.DeleteFunc(p.sampled, func(stats *endpointStats) bool {
		drop := len(stats.endpoint.inFlight) == 0 && (!stats.endpoint.listed || stats.times.Count(now) < minTableCalls)
		if drop && stats.endpoint.stats[p.kind] == stats {
			stats.endpoint.stats[p.kind] = nil
		}
		return drop
	})
}

// resetStats gives a readmitted endpoint an empty table, as its calls from before the ejection no longer predict its times.
func (p *callPlan) resetStats(e *endpoint) {
	if stats := e.stats[p.kind]; stats != nil {
		stats.times = p.planner.NewTable()
		p.stale = true
	}
}

// update sets the estimates to the solution's results for a table, for requests with up to maxAttemptsLeft attempts.
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

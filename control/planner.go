package control

import (
	"math"
	"time"
)

// Planner offers the latency tables and the restart recursion to callers that queue requests themselves. It makes no decisions: it builds
// the endpoints and tables that a Sender has, and calls the same functions on them. A Sender uses these functions in Step, together with
// its queue, health checks, rate limits and rules. A caller of a Planner provides its own, and passes only the tables of endpoints that
// accept calls at the moment.
//
// A Planner is not safe for concurrent use, and neither are its tables.
type Planner struct {
	sender            Sender           // only its bucket bounds, retry times and time are used
	unrestrictedRoute routeState       // the route of all tables; it accepts calls at any time
	service           destinationState // scratch space: the tables of one call to Pool or Solve
}

// LatencyTable is the latency table of one endpoint: its own calls, and what Pool adds from calls to others.
type LatencyTable struct {
	planner  *Planner
	endpoint endpointState
}

// Plan is the expected time of a request for each number of attempts left, if each attempt goes to the best of the endpoints for which
// the plan was solved.
type Plan struct {
	planner *Planner
	plan    restartPlan
}

// NewPlanner returns a planner whose tables distinguish times up to longest, but at least up to a second; slower calls count as the
// slowest bucket. Tables that are used together must come from the same planner.
func NewPlanner(longest time.Duration) *Planner {
	p := &Planner{}
	class := Class{Deadline: max(longest, time.Second)}
	if s, err := New(Settings{Peers: 1, Slots: 1, MaxAttempts: 1, Classes: []Class{class}}, 0); err == nil {
		p.sender = *s
	}
	return p
}

// NewTable returns an empty table.
func (p *Planner) NewTable() *LatencyTable {
	t := &LatencyTable{planner: p}
	t.endpoint.route = &p.unrestrictedRoute
	t.endpoint.own.counts = make([]float64, len(p.sender.bounds))
	t.endpoint.pooled.counts = make([]float64, len(p.sender.bounds))
	return t
}

// Pool applies the decay up to now, and supplements tables that have too few calls with those of common, which usually counts the calls
// to all endpoints of a service. Quantile, Known, Solve and Attempt use the result of the last Pool.
func (p *Planner) Pool(now time.Duration, common *LatencyTable, tables []*LatencyTable) {
	p.sender.now = now
	p.service.latencies = common.endpoint.own
	p.setEndpoints(tables)
	p.sender.poolLatencies(&p.service)
	common.endpoint.own = p.service.latencies
}

// Solve returns the plan for requests with up to the given number of attempts. Tables that are not Known are left out; if none is Known,
// all expected times are infinite.
func (p *Planner) Solve(now time.Duration, tables []*LatencyTable, attempts int) Plan {
	p.setEndpoints(tables)
	plan := Plan{planner: p}
	plan.plan.solve(p.sender.bounds, p.service.endpoints, attempts, p.sender.retryPenalty(), now)
	return plan
}

// ObserveRetry records how long a request took that was retried after a time-out set by the plan, and how long the plan had expected. If
// retries take longer than expected, the work itself is slow and a restart repeats it, so the plan restarts later.
func (p *Planner) ObserveRetry(took, expected time.Duration) {
	p.sender.observeRetry(took.Seconds(), expected.Seconds())
}

func (p *Planner) setEndpoints(tables []*LatencyTable) {
	p.service.endpoints = p.service.endpoints[:0]
	for _, t := range tables {
		p.service.endpoints = append(p.service.endpoints, &t.endpoint)
	}
}

// Add counts a call that was answered after elapsed.
func (t *LatencyTable) Add(now, elapsed time.Duration) {
	t.endpoint.own.observe(now, t.planner.sender.bounds, elapsed.Seconds())
}

// AddFailed counts a failed call as one of the slowest.
func (t *LatencyTable) AddFailed(now time.Duration) { t.endpoint.own.observeFailure(now) }

// AddCensored counts a call that was cut off after elapsed and would have taken longer.
func (t *LatencyTable) AddCensored(now, elapsed time.Duration) {
	t.endpoint.own.observeCensored(now, t.planner.sender.bounds, elapsed.Seconds())
}

// Count returns the number of calls to the endpoint itself in the table; older calls count for less.
func (t *LatencyTable) Count(now time.Duration) float64 {
	t.endpoint.own.decay(now)
	return t.endpoint.own.total
}

// Known reports whether there are enough calls, own or pooled, to plan with.
func (t *LatencyTable) Known() bool { return t.endpoint.known() }

// Quantile returns the upper bound of the bucket that contains quantile q of the answered calls; 0 if the table is not Known.
func (t *LatencyTable) Quantile(q float64) time.Duration {
	if !t.Known() {
		return 0
	}
	return toDuration(t.endpoint.pooled.quantile(t.planner.sender.bounds, q))
}

// Expected returns the expected time of a request with attemptsLeft attempts left, or the largest Duration if it is infinite.
func (p Plan) Expected(attemptsLeft int) time.Duration {
	if attemptsLeft >= len(p.plan.expected) || math.IsInf(p.plan.expected[attemptsLeft], 1) {
		return math.MaxInt64
	}
	return toDuration(p.plan.expected[attemptsLeft])
}

// Attempt returns the plan for an attempt at the endpoint of table t with attemptsLeft attempts left, this one included: the expected
// time until an answer to this or a later attempt, and the time after which to restart elsewhere. If runsOn is true, a restart gains
// nothing and the call should be allowed all the time there is. For a table that is not Known, expected is 0 and runsOn is true.
func (p Plan) Attempt(t *LatencyTable, attemptsLeft int) (expected, timeout time.Duration, runsOn bool) {
	if !t.Known() || len(p.plan.expected) < 2 {
		return 0, 0, true
	}
	level := min(max(attemptsLeft, 1), len(p.plan.expected)-1)
	bounds := p.planner.sender.bounds
	cost, stop := t.endpoint.pooled.bestRestart(bounds, p.planner.sender.retryPenalty()*p.plan.expected[level-1])
	return toDuration(cost), toDuration(bounds[stop]), stop == len(bounds)-1
}

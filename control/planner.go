package control

import (
	"math"
	"time"
)

// Planner lends the latency tables and the restart recursion to callers that queue requests of their own. It decides nothing: it builds
// the values that a Sender keeps for itself, endpoints with their tables, and hands them to the same functions. A Sender uses these
// inside Step, with its queue, health, pace and rules around them; a caller of a Planner brings those itself, and passes only the tables
// of endpoints that take calls now.
//
// A Planner is not safe for concurrent use, and its tables belong to it.
type Planner struct {
	sender            Sender           // has the bucket bounds and the time; none of its messages, destinations or actions are used
	unrestrictedRoute routeState       // that of all tables: it takes calls at any time
	service           destinationState // scratch: has the tables of one call to Pool or Solve
}

// LatencyTable is the table of one endpoint: its own calls, and what Pool adds from those of others.
type LatencyTable struct {
	planner  *Planner
	endpoint endpointState
}

// Plan is the expected time of a request by the number of attempts it has left, when each one goes to the best of the endpoints that the
// plan was solved for.
type Plan struct {
	planner *Planner
	plan    restartPlan
}

// NewPlanner returns a planner whose tables tell times apart up to longest, a second at least; what is slower counts as that. Tables
// that are to be read together must come from one planner.
func NewPlanner(longest time.Duration) *Planner {
	p := &Planner{}
	class := Class{Deadline: max(longest, time.Second)}
	if s, err := New(Settings{Peers: 1, Slots: 1, MaxAttempts: 1, Classes: []Class{class}}, 0); err == nil {
		p.sender = *s
	}
	return p
}

// NewTable returns a table without calls.
func (p *Planner) NewTable() *LatencyTable {
	t := &LatencyTable{planner: p}
	t.endpoint.route = &p.unrestrictedRoute
	t.endpoint.own.counts = make([]float64, len(p.sender.bounds))
	t.endpoint.pooled.counts = make([]float64, len(p.sender.bounds))
	return t
}

// Pool brings tables up to now, and fills up what each of them lacks from the calls that common has, which are usually those of all
// endpoints of one service. Quantile, Known, Solve and Attempt go by what Pool has made.
func (p *Planner) Pool(now time.Duration, common *LatencyTable, tables []*LatencyTable) {
	p.sender.now = now
	p.service.latencies = common.endpoint.own
	p.setEndpoints(tables)
	p.sender.poolLatencies(&p.service)
	common.endpoint.own = p.service.latencies
}

// Solve returns the plan for requests with up to that many attempts. Tables that are not Known take no part; without any that is, all
// expected times are infinite.
func (p *Planner) Solve(now time.Duration, tables []*LatencyTable, attempts int) Plan {
	p.setEndpoints(tables)
	plan := Plan{planner: p}
	plan.plan.solve(p.sender.bounds, p.service.endpoints, attempts, p.sender.retryPenalty(), now)
	return plan
}

// ObserveRetry tells how long a request took that was sent again after a time-out of the plan's, and what the plan had expected. Where
// retries take longer than that, the work is slow of itself and a restart repeats it: the plan then restarts later.
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

// AddFailed counts a call that failed, as slow as the slowest.
func (t *LatencyTable) AddFailed(now time.Duration) { t.endpoint.own.observeFailure(now) }

// AddCensored counts a call that was cut off after elapsed: it would have taken longer.
func (t *LatencyTable) AddCensored(now, elapsed time.Duration) {
	t.endpoint.own.observeCensored(now, t.planner.sender.bounds, elapsed.Seconds())
}

// Count is how many of the endpoint's own calls the table holds; they count for less as they age.
func (t *LatencyTable) Count(now time.Duration) float64 {
	t.endpoint.own.decay(now)
	return t.endpoint.own.total
}

// Known tells whether there are enough calls, own or pooled, to plan by.
func (t *LatencyTable) Known() bool { return t.endpoint.known() }

// Quantile is the time of the bucket in which the share q of the answered calls is reached; 0 while not Known.
func (t *LatencyTable) Quantile(q float64) time.Duration {
	if !t.Known() {
		return 0
	}
	return toDuration(t.endpoint.pooled.quantile(t.planner.sender.bounds, q))
}

// Expected is the expected time of a request with so many attempts left; the largest Duration where it is infinite.
func (p Plan) Expected(attemptsLeft int) time.Duration {
	if attemptsLeft >= len(p.plan.expected) || math.IsInf(p.plan.expected[attemptsLeft], 1) {
		return math.MaxInt64
	}
	return toDuration(p.plan.expected[attemptsLeft])
}

// Attempt is what the recursion says of an attempt at the endpoint of that table, made with so many attempts left, it included: the
// expected time until an answer, of this attempt or a later one, and the time after which to restart elsewhere. Where runsOn is true, a
// restart gains nothing and the call should last as long as it may. An endpoint whose table is not Known has no expected time, and its
// call runs on.
func (p Plan) Attempt(t *LatencyTable, attemptsLeft int) (expected, timeout time.Duration, runsOn bool) {
	if !t.Known() || len(p.plan.expected) < 2 {
		return 0, 0, true
	}
	level := min(max(attemptsLeft, 1), len(p.plan.expected)-1)
	bounds := p.planner.sender.bounds
	cost, stop := t.endpoint.pooled.bestRestart(bounds, p.planner.sender.retryPenalty()*p.plan.expected[level-1])
	return toDuration(cost), toDuration(bounds[stop]), stop == len(bounds)-1
}

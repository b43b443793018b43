package control

import (
	"math"
	"time"
)

// Planner lends the tables of completion times and the restart recursion to callers that hold requests of their own.
// It decides nothing: all it does is to build the values that a Sender keeps for itself (endpoints with their tables)
// and to hand them to the same functions. A Sender uses these inside Step, with its own queue, health, pace and rules
// around them; a caller of a Planner brings those itself, and passes only the tables of endpoints that take calls now.
//
// A Planner is not safe for concurrent use, and its tables belong to it.
type Planner struct {
	sender  Sender // holds the bucket edges and the time; none of its messages, nodes or actions are used
	open    destination
	scratch node
}

// LatencyTable is the table of one endpoint: its own calls, and what Pool adds from those of others.
type LatencyTable struct {
	planner  *Planner
	endpoint endpoint
}

// Plan is the expected time of a request by the number of attempts it has left, when each one goes to the best of
// the endpoints that the plan was solved for.
type Plan struct {
	planner *Planner
	plan    plan
}

// NewPlanner returns a planner whose tables tell times apart up to longest; what is slower counts as that. Tables that
// are to be read together must come from one planner.
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
	c := &LatencyTable{planner: p}
	c.endpoint.dest = &p.open
	c.endpoint.t.n = make([]float64, len(p.sender.edges))
	c.endpoint.mix.n = make([]float64, len(p.sender.edges))
	return c
}

// Pool brings tables up to now, and fills up what each of them lacks from the calls that common has, which are
// usually those of all endpoints of one service. Quantile, Known, Solve and Attempt go by what Pool has made.
func (p *Planner) Pool(now time.Duration, common *LatencyTable, tables []*LatencyTable) {
	p.sender.now = now
	p.scratch.t = common.endpoint.t
	p.fill(tables)
	p.sender.pool(&p.scratch)
	common.endpoint.t = p.scratch.t
}

// Solve returns the plan for requests with up to that many attempts. Tables that are not Known take no part; without
// any that is, all expected times are infinite.
func (p *Planner) Solve(now time.Duration, tables []*LatencyTable, attempts int) Plan {
	p.fill(tables)
	s := Plan{planner: p}
	s.plan.solve(p.sender.edges, p.scratch.eps, attempts, p.sender.penalty(), now)
	return s
}

// ObserveRetry tells how long a request took that was sent again after a time-out of the plan's, and what the plan had
// expected. Where resent requests take longer than that, the work is slow of itself and a restart repeats it: the
// plan then restarts later. Both times are in the unit of the tables.
func (p *Planner) ObserveRetry(took, expected time.Duration) {
	again := &p.sender.again
	again[0] = again[0]*againKeep + took.Seconds()
	again[1] = again[1]*againKeep + expected.Seconds()
}

func (p *Planner) fill(tables []*LatencyTable) {
	p.scratch.eps = p.scratch.eps[:0]
	for _, c := range tables {
		p.scratch.eps = append(p.scratch.eps, &c.endpoint)
	}
}

// Add counts a call that was answered after elapsed.
func (c *LatencyTable) Add(now, elapsed time.Duration) {
	c.endpoint.t.add(now, c.planner.sender.edges, elapsed.Seconds())
}

// AddFailed counts a call that failed, in the slowest bucket.
func (c *LatencyTable) AddFailed(now time.Duration) { c.endpoint.t.addLost(now) }

// AddCensored counts a call that was cut off after elapsed.
func (c *LatencyTable) AddCensored(now, elapsed time.Duration) {
	c.endpoint.t.addLonger(now, c.planner.sender.edges, elapsed.Seconds())
}

// Count is how many of the endpoint's own calls the table holds; they count for less as they age.
func (c *LatencyTable) Count(now time.Duration) float64 {
	c.endpoint.t.decay(now)
	return c.endpoint.t.total
}

// Known tells whether there are enough calls, own or pooled, to plan by.
func (c *LatencyTable) Known() bool { return c.endpoint.known() }

// Quantile is the time of the bucket in which the share q of the answered calls is reached; 0 while not Known.
func (c *LatencyTable) Quantile(q float64) time.Duration {
	if !c.Known() {
		return 0
	}
	return seconds(c.endpoint.mix.quantile(c.planner.sender.edges, q))
}

// Expected is the expected time of a request with so many attempts left.
func (p Plan) Expected(attemptsLeft int) time.Duration {
	if attemptsLeft >= len(p.plan.least) || math.IsInf(p.plan.least[attemptsLeft], 1) {
		return math.MaxInt64
	}
	return seconds(p.plan.least[attemptsLeft])
}

// Attempt is what the recursion says of an attempt at the endpoint of that table, made with so many attempts left, it
// included: the expected time until an answer, of this attempt or a later one, and the time after which to restart
// elsewhere. Where runsOn is true, a restart gains nothing and the call should last as long as it may. An endpoint
// whose table is not Known has no expected time, and its call runs on.
func (p Plan) Attempt(c *LatencyTable, attemptsLeft int) (expected, timeout time.Duration, runsOn bool) {
	if !c.Known() || len(p.plan.least) < 2 {
		return 0, 0, true
	}
	level := min(max(attemptsLeft, 1), len(p.plan.least)-1)
	edges := p.planner.sender.edges
	cost, stop := c.endpoint.mix.restart(edges, p.planner.sender.penalty()*p.plan.least[level-1])
	return seconds(cost), seconds(edges[stop]), stop == len(edges)-1
}

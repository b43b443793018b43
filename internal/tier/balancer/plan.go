package balancer

import (
	"slices"
	"time"

	"mastusher/control"
)

// How the plan of a service is kept.
const (
	tableLongest = 16 * workUnit // what is slower, and what fails, counts as this
	mostAttempts = 4             // attempts that a plan looks ahead
	solveEvery   = 50 * time.Millisecond
	solveSize    = 64 // tables above which the plan is solved less often, in proportion
	solveAtLeast = time.Second
	forgotten    = 0.02 // calls that are left of a table, below which it is dropped
	overrunTimes = 2.5  // the 90th percentile; older calls overrun
)

// figures is what a solved plan says of an endpoint, in units of work.
type figures struct {
	expected [mostAttempts + 1]float64 // s, by attempts left
	timeout  [mostAttempts + 1]time.Duration
	runsOn   [mostAttempts + 1]bool
	median   time.Duration
	overrun  time.Duration
	known    bool
}

// track is the table of one endpoint for one kind of call.
type track struct {
	endpoint *endpoint
	table    *control.LatencyTable
	figures  figures
}

// kind is the tables of a service for one kind of call, and the plan solved from them.
type kind struct {
	kind     callKind
	planner  *control.Planner
	common   *control.LatencyTable // all calls of the service
	fresh    track                 // stands for the endpoints without a table
	called   []*track
	pooled   []*control.LatencyTable
	solved   []*control.LatencyTable
	levels   int  // attempts that a request has had left at most
	stale    bool // calls have ended since it was solved
	changed  bool // the list or the levels have
	solvedAt time.Duration
}

func newKind(k callKind) *kind {
	p := control.NewPlanner(tableLongest)
	n := &kind{kind: k, planner: p, common: p.NewTable()}
	n.fresh.table = p.NewTable()
	return n
}

// track returns the endpoint's table, which it makes at need.
func (k *kind) track(e *endpoint) *track {
	if e.tracks[k.kind] == nil {
		t := &track{endpoint: e, table: k.planner.NewTable(), figures: k.fresh.figures}
		e.tracks[k.kind] = t
		k.called = append(k.called, t)
	}
	return e.tracks[k.kind]
}

// figures is what the plan says of an endpoint.
func (k *kind) figures(e *endpoint) *figures {
	if t := e.tracks[k.kind]; t != nil {
		return &t.figures
	}
	return &k.fresh.figures
}

// due tells whether the plan is to be solved again, for requests with so many attempts left.
func (k *kind) due(now time.Duration, level int) bool {
	if level > k.levels {
		k.levels, k.changed = level, true
	}
	age, every := now-k.solvedAt, solveEvery
	if n := len(k.called); n > solveSize {
		every = solveEvery * time.Duration(n) / solveSize
	}
	return k.changed || k.stale && age >= every || age >= max(solveAtLeast, every)
}

// refresh solves the plan again where it is due.
func (k *kind) refresh(now time.Duration, level int) {
	if !k.due(now, level) {
		return
	}
	k.stale, k.changed, k.solvedAt = false, false, now
	k.forget(now)
	k.pooled = append(k.pooled[:0], k.fresh.table)
	k.solved = append(k.solved[:0], k.fresh.table)
	for _, t := range k.called {
		t.endpoint.watch(now, k.kind, &t.figures)
		k.pooled = append(k.pooled, t.table)
		if t.endpoint.takes(now) && !t.endpoint.suspect() {
			k.solved = append(k.solved, t.table)
		}
	}
	k.planner.Pool(now, k.common, k.pooled)
	plan := k.planner.Solve(now, k.solved, k.levels)
	k.fresh.figures.read(plan, k.fresh.table, k.levels)
	for _, t := range k.called {
		t.figures.read(plan, t.table, k.levels)
	}
}

// forget drops the tables of endpoints that have left, and those that hold next to nothing any more.
func (k *kind) forget(now time.Duration) {
	k.called = slices.DeleteFunc(k.called, func(t *track) bool {
		drop := len(t.endpoint.out) == 0 && (!t.endpoint.listed || t.table.Count(now) < forgotten)
		if drop && t.endpoint.tracks[k.kind] == t {
			t.endpoint.tracks[k.kind] = nil
		}
		return drop
	})
}

// renew gives an endpoint that has come back a table without calls: what it did before says little of it now.
func (k *kind) renew(e *endpoint) {
	if t := e.tracks[k.kind]; t != nil {
		t.table = k.planner.NewTable()
		k.stale = true
	}
}

func (f *figures) read(plan control.Plan, table *control.LatencyTable, levels int) {
	f.known = table.Known()
	if !f.known {
		*f = figures{}
		for i := range f.expected {
			f.expected[i], f.runsOn[i] = workUnit.Seconds(), true
		}
		return
	}
	for left := 1; left <= levels; left++ {
		expected, timeout, runsOn := plan.Attempt(table, left)
		f.expected[left], f.timeout[left], f.runsOn[left] = expected.Seconds(), timeout, runsOn
	}
	f.median = table.Quantile(0.5)
	f.overrun = time.Duration(overrunTimes * float64(table.Quantile(0.9)))
}

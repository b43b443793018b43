package control

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const plannerLongest = 8 * time.Second

// addCalls adds a call with each of the times to table.
func addCalls(table *LatencyTable, times ...time.Duration) {
	for _, t := range times {
		table.Add(0, t)
	}
}

func repeated(d time.Duration, n int) []time.Duration {
	times := make([]time.Duration, n)
	for i := range times {
		times[i] = d
	}
	return times
}

func TestPlanner_EnoughCalls_TableIsKnown(t *testing.T) {
	// Given a service of two endpoints, one of which has been called four times and the other never.
	p := NewPlanner(plannerLongest)
	common, called, fresh := p.NewTable(), p.NewTable(), p.NewTable()
	tables := []*LatencyTable{called, fresh}
	p.Pool(0, common, tables)
	if called.Known() || fresh.Known() {
		t.Fatal("tables without calls are Known, want them not to be")
	}
	times := repeated(100*time.Millisecond, 4)
	addCalls(called, times...)
	addCalls(common, times...)

	// When they are pooled.
	p.Pool(0, common, tables)

	// Then both tables are known: the second endpoint has no calls of its own, but gets those of its destination.
	if !called.Known() || !fresh.Known() {
		t.Fatalf("known: called %v, fresh %v; want both", called.Known(), fresh.Known())
	}
	if got, want := fresh.Quantile(0.5), called.Quantile(0.5); got != want {
		t.Errorf("median of the fresh table is %v, want %v", got, want)
	}
	if got := called.Count(0); got != 4 {
		t.Errorf("own calls: %v, want 4", got)
	}
}

func TestPlanner_Calls_Decay(t *testing.T) {
	p := NewPlanner(plannerLongest)
	table := p.NewTable()
	addCalls(table, repeated(100*time.Millisecond, 8)...)
	if got := table.Count(tableHalfLife); math.Abs(got-4) > 1e-9 {
		t.Errorf("calls after one half-life: %v, want 4", got)
	}
}

func TestPlan_LongTail_Restarts(t *testing.T) {
	// Given endpoints that mostly take 100 ms, and one call in four times 5 s.
	p := NewPlanner(plannerLongest)
	common := p.NewTable()
	tables := []*LatencyTable{p.NewTable(), p.NewTable()}
	for _, table := range append(tables, common) {
		addCalls(table, repeated(100*time.Millisecond, 30)...)
		addCalls(table, repeated(5*time.Second, 10)...)
	}
	for range 200 { // retries take the expected time
		p.ObserveRetry(time.Second, time.Second)
	}
	p.Pool(0, common, tables)

	// When a plan is solved.
	plan := p.Solve(0, tables, 3)

	// Then an attempt with others behind it is restarted soon, and the last one runs on.
	expected, timeout, runsOn := plan.Attempt(tables[0], 3)
	if runsOn || timeout > 500*time.Millisecond {
		t.Errorf("with three attempts left: time-out %v, runs on %v; want a restart before 500 ms", timeout, runsOn)
	}
	if last, _, on := plan.Attempt(tables[0], 1); !on || last <= expected {
		t.Errorf("last attempt: runs on %v, expected time %v; want true, and more than %v", on, last, expected)
	}
}

func TestPlan_SlowRetries_RunsOn(t *testing.T) {
	// Given the same tail, and retries that took twenty times what was expected.
	p := NewPlanner(plannerLongest)
	common, table := p.NewTable(), p.NewTable()
	for _, each := range []*LatencyTable{common, table} {
		addCalls(each, repeated(100*time.Millisecond, 30)...)
		addCalls(each, repeated(time.Second, 10)...)
	}
	for range 200 {
		p.ObserveRetry(20*time.Second, time.Second)
	}
	p.Pool(0, common, []*LatencyTable{table})

	// When, then: a restart gains nothing.
	if _, _, runsOn := p.Solve(0, []*LatencyTable{table}, 3).Attempt(table, 3); !runsOn {
		t.Error("the plan restarts an attempt although retries take far longer")
	}
}

func TestPlanner_SameCalls_AgreesWithSender(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		// Given tables with the same calls in a planner and in a sender's own types.
		planner := NewPlanner(plannerLongest)
		upperBounds, common := planner.sender.bounds, planner.NewTable()
		var tables []*LatencyTable
		own := destinationState{latencies: latencyTable{counts: make([]float64, len(upperBounds))}}
		sender := Sender{bounds: upperBounds, allLatencies: latencyTable{counts: make([]float64, len(upperBounds))}}
		for range rapid.IntRange(1, 5).Draw(rapidT, "endpoints") {
			table, endpoint := planner.NewTable(), &endpointState{route: &routeState{}, own: latencyTable{counts: make([]float64, len(upperBounds))}}
			for range rapid.IntRange(0, 12).Draw(rapidT, "calls") {
				elapsed := time.Duration(rapid.IntRange(1, 9000).Draw(rapidT, "ms")) * time.Millisecond
				seconds := elapsed.Seconds()
				switch rapid.IntRange(0, 3).Draw(rapidT, "outcome") {
				case 0:
					table.AddFailed(0)
					common.AddFailed(0)
					endpoint.own.observeFailure(0)
					own.latencies.observeFailure(0)
				case 1:
					table.AddCensored(0, elapsed)
					common.AddCensored(0, elapsed)
					endpoint.own.observeCensored(0, upperBounds, seconds)
					own.latencies.observeCensored(0, upperBounds, seconds)
				default:
					table.Add(0, elapsed)
					common.Add(0, elapsed)
					endpoint.own.observe(0, upperBounds, seconds)
					own.latencies.observe(0, upperBounds, seconds)
				}
			}
			tables, own.endpoints = append(tables, table), append(own.endpoints, endpoint)
		}
		now := time.Duration(rapid.IntRange(0, 60).Draw(rapidT, "age")) * time.Second
		sender.now = now

		// When both are pooled and solved.
		planner.Pool(now, common, tables)
		solved := planner.Solve(now, tables, 4)
		sender.poolLatencies(&own)
		var want restartPlan
		want.solve(upperBounds, own.endpoints, 4, sender.retryPenalty(), now)

		// Then every figure is the same.
		if diff := cmp.Diff(want.expected, solved.plan.expected); diff != "" {
			rapidT.Fatalf("expected times (-sender +planner):\n%s", diff)
		}
		for i, c := range tables {
			if diff := cmp.Diff(own.endpoints[i].pooled.counts, c.endpoint.pooled.counts); diff != "" {
				rapidT.Fatalf("table %d (-sender +planner):\n%s", i, diff)
			}
		}
	})
}

func BenchmarkPlannerSolve(b *testing.B) {
	p := NewPlanner(plannerLongest)
	common := p.NewTable()
	var tables []*LatencyTable
	for i := range 28 {
		table := p.NewTable()
		addCalls(table, repeated(time.Duration(50+10*i)*time.Millisecond, 6)...)
		addCalls(common, repeated(time.Duration(50+10*i)*time.Millisecond, 6)...)
		tables = append(tables, table)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Pool(0, common, tables)
		p.Solve(0, tables, 3)
	}
}

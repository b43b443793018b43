package rollout

import (
	"maps"
	"slices"
	"time"
)

// What an analysis needs to conclude.
const (
	slowBuckets           = 4  // latency buckets above the baseline's median from which on an answer counts as slow
	minBaselineAnswers    = 10 // answers of the baseline needed on a route to compare with that route
	minGoodAnswers        = 3  // good answers needed to finish a roll-out before its deadline margin
	minSentWithoutAnswers = 8  // requests sent from which on a target without good answers is reverted at the deadline
)

// When a roll-out that isn't rejected ends before its deadline, so that its end is known by then.
const (
	finishEarly      = 700 * time.Millisecond
	finishEarlyShare = 0.04 // of the roll-out's duration, where that is more than finishEarly
	deadlineMargin   = 300 * time.Millisecond
)

// Analysis decides one roll-out from the stats that are seen of it, evaluation after evaluation. Each route is tested by itself,
// for failures and for slow answers: many good routes must not hide that one fails.
type Analysis struct {
	processed StatsByRoute // of the target, up to the last evaluation
	tests     map[string]routeTests
	bad       bool
}

// routeTests are the tests of one route.
type routeTests struct {
	failures, latency sequentialTest
}

// NewAnalysis returns an analysis without evidence.
func NewAnalysis() *Analysis {
	return &Analysis{processed: StatsByRoute{}, tests: map[string]routeTests{}}
}

// Evaluate decides a roll-out, given for how long it has been in service and all stats so far of its target and of its baseline:
// Finished, Reverted, or InService while that is open.
func (a *Analysis) Evaluate(rollout Rollout, elapsed time.Duration, target, baseline StatsByRoute) State {
	a.update(target, baseline)
	if a.bad {
		return Reverted
	}
	duration := time.Duration(rollout.OverMs) * time.Millisecond
	early := max(finishEarly, time.Duration(finishEarlyShare*float64(duration)))
	sum := target.Total()
	switch {
	case elapsed < duration-early:
		return InService
	case sum.Good >= minGoodAnswers:
		return Finished
	case elapsed < duration-deadlineMargin:
		return InService
	case sum.Sent >= minSentWithoutAnswers:
		return Reverted
	}
	return Finished
}

// update adds the answers since the last evaluation to the tests.
func (a *Analysis) update(target, baseline StatsByRoute) {
	allRoutes := baseline.Total()
	for _, route := range slices.Sorted(maps.Keys(target)) {
		current := target[route]
		if !current.includes(a.processed[route]) {
			continue // an older report arrived late
		}
		recent := current.since(a.processed[route])
		a.processed[route] = current
		expected := baseline[route]
		if expected.Good+expected.Bad < minBaselineAnswers {
			expected = allRoutes
		}
		a.tests[route] = a.tests[route].add(recent, expected)
		a.bad = a.bad || a.tests[route].rejectTarget()
	}
}

// add returns the tests with recent answers of the target, compared with the expected ones of the baseline.
func (t routeTests) add(recent, expected Stats) routeTests {
	t.failures.add(recent.Bad, recent.Good, baselineBadShare(expected.Bad, expected.Good))
	if expected.latencyCount() >= minBaselineAnswers {
		slowFrom := expected.medianBucket() + slowBuckets
		slow := recent.countFromBucket(slowFrom)
		expectedSlow := expected.countFromBucket(slowFrom)
		t.latency.add(slow, recent.latencyCount()-slow, baselineBadShare(expectedSlow, expected.latencyCount()-expectedSlow))
	}
	return t
}

// rejectTarget reports whether either test rejects the target.
func (t routeTests) rejectTarget() bool {
	return t.failures.rejectsTarget() || t.latency.rejectsTarget()
}

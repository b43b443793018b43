package rollout

import (
	"maps"
	"slices"
	"time"
)

// Thresholds of an analysis.
const (
	slowBucketOffset   = 4  // an answer is slow if its latency bucket is at least this far above the baseline's median bucket
	minBaselineAnswers = 10 // baseline answers needed to use those of one route instead of all routes, and to test the latency
	minGoodAnswers     = 3  // good answers needed to finish a roll-out before deadlineMargin
	minSentToRevert    = 8  // at deadlineMargin, a target with fewer than minGoodAnswers is reverted if it was sent this many requests
)

// A roll-out that no test rejects is decided some time before its deadline, so that the decision is known by then.
const (
	finishEarly      = 700 * time.Millisecond // time before the deadline at which a target with at least minGoodAnswers is decided
	finishEarlyShare = 0.04                   // share of the roll-out's duration, used instead of finishEarly if it is longer
	deadlineMargin   = 300 * time.Millisecond // time before the deadline at which a target with fewer good answers is decided
)

// Analysis decides one roll-out by repeated evaluation of its stats. Each route is tested separately, for failures and for slow
// answers: many good routes must not hide one that fails.
type Analysis struct {
	processed StatsByRoute // the target's stats that the tests already include
	tests     map[string]routeTests
	rejected  bool // by the test of any route
}

// routeTests holds the two tests of one route.
type routeTests struct {
	failures, latency sequentialTest
}

// NewAnalysis returns an analysis that has evaluated no answers yet.
func NewAnalysis() *Analysis {
	return &Analysis{processed: StatsByRoute{}, tests: map[string]routeTests{}}
}

// Evaluate decides a roll-out from the time that it has been in service and from all stats so far of its target and its baseline.
// It returns Finished or Reverted, or InService while the decision is open.
func (a *Analysis) Evaluate(rollout Rollout, elapsed time.Duration, target, baseline StatsByRoute) State {
	a.update(target, baseline)
	if a.rejected {
		return Reverted
	}
	duration := time.Duration(rollout.DurationMs) * time.Millisecond
	early := max(finishEarly, time.Duration(finishEarlyShare*float64(duration)))
	sum := target.Total()
	switch {
	case elapsed < duration-early:
		return InService
	case sum.Good >= minGoodAnswers:
		return Finished
	case elapsed < duration-deadlineMargin:
		return InService
	case sum.Sent >= minSentToRevert:
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
			continue // these stats are older than those processed
		}
		recent := current.since(a.processed[route])
		a.processed[route] = current
		expected := baseline[route]
		if expected.Good+expected.Bad < minBaselineAnswers {
			expected = allRoutes
		}
		a.tests[route] = a.tests[route].add(recent, expected)
		a.rejected = a.rejected || a.tests[route].rejects()
	}
}

// add returns the tests after the target's recent answers have been added to them. expected holds the baseline's answers to compare with.
func (t routeTests) add(recent, expected Stats) routeTests {
	t.failures.add(recent.Bad, recent.Good, baselineBadShare(expected.Bad, expected.Good))
	if expected.latencyCount() >= minBaselineAnswers {
		slowFrom := expected.medianBucket() + slowBucketOffset
		slow := recent.countFromBucket(slowFrom)
		expectedSlow := expected.countFromBucket(slowFrom)
		t.latency.add(slow, recent.latencyCount()-slow, baselineBadShare(expectedSlow, expected.latencyCount()-expectedSlow))
	}
	return t
}

// rejects reports whether either test rejects the target.
func (t routeTests) rejects() bool {
	return t.failures.rejectsTarget() || t.latency.rejectsTarget()
}

package rollout

import (
	"maps"
	"slices"
	"time"
)

// Thresholds of an analysis.
const (
	minGoodAnswers  = 3 // good answers needed to finish a roll-out before deadlineMargin
	minSentToRevert = 8 // at deadlineMargin, a target with fewer than minGoodAnswers is reverted if it was sent this many requests
)

// A roll-out that no test rejects is decided some time before its deadline, so that the decision is known by then.
const (
	finishEarly      = 700 * time.Millisecond // time before the deadline at which a target with at least minGoodAnswers is decided
	finishEarlyShare = 0.04                   // share of the roll-out's duration, used instead of finishEarly if it is longer
	deadlineMargin   = 300 * time.Millisecond // time before the deadline at which a target with fewer good answers is decided
)

// A target that no test rejects, but that more likely fails than not by its newest answers, is neither finished nor reverted yet. It gets
// its share of the requests until the tests decide.
const (
	undecidedRatio = 5               // log-likelihood ratio, bad to good version, from which a target isn't finished
	maxUndecided   = 5 * time.Second // after the deadline, until such a target is reverted
)

// maxEvaluationGap is the longest time between two evaluations for which the order of the answers between them doesn't matter.
const maxEvaluationGap = time.Second

// Analysis decides one roll-out by repeated evaluation of its evidence. Each route is tested separately, for failures and for slow
// answers: many good routes must not hide one that fails.
//
// Each evaluation adds the answers since the last one to the tests. Where these aren't all that has changed, since the analysis has just
// begun, was interrupted, or lacked reports, the tests begin again and take all answers in their order: a version may have turned bad after
// many good answers, which must not count as one with the bad ones.
type Analysis struct {
	tests       map[string]routeTests
	allRoutes   sequentialTest // of failures on all routes together; rejects nothing, but may leave the roll-out undecided
	processed   StatsByRoute   // the target's stats that the tests include
	complete    bool           // the last evaluation was on complete evidence
	afterGap    uint64         // Evidence.AfterGap at the last evaluation
	evaluatedAt time.Duration  // time in service at the last evaluation
	rejected    bool           // by the test of any route
	peak        float64        // highest log-likelihood ratio of any test so far
}

// NewAnalysis returns an analysis that has evaluated no answers yet.
func NewAnalysis() *Analysis { return &Analysis{} }

// PeakRatio returns the highest log-likelihood ratio, bad to good version, that any test has had.
func (a *Analysis) PeakRatio() float64 { return a.peak }

// Evaluate decides a roll-out from the time that it has been in service, the evidence on its target, and all stats of its baseline. It
// returns Finished or Reverted, or InService while the decision is open. It never returns Finished on incomplete evidence.
func (a *Analysis) Evaluate(rollout Rollout, elapsed time.Duration, target Evidence, baseline StatsByRoute) State {
	if a.mayUpdate(elapsed, &target) {
		a.update(target.Totals, baseline)
	} else {
		a.replay(&target, baseline)
	}
	a.complete, a.afterGap, a.evaluatedAt = target.Complete, target.AfterGap, elapsed
	if a.rejected {
		return Reverted
	}
	duration := time.Duration(rollout.DurationMs) * time.Millisecond
	early := max(finishEarly, time.Duration(finishEarlyShare*float64(duration)))
	sum := target.Totals.Total()
	switch {
	case elapsed < duration-early || !target.Complete:
		return InService
	case a.isUndecided() && elapsed < duration+maxUndecided:
		return InService
	case a.isUndecided():
		return Reverted
	case sum.Good >= minGoodAnswers:
		return Finished
	case elapsed < duration-deadlineMargin:
		return InService
	case sum.Sent >= minSentToRevert:
		return Reverted
	}
	return Finished
}

// isUndecided reports whether the newest answers say that the target fails, but not clearly enough to reject it. Slow answers don't count:
// those of endpoints that have just started are slow, and few requests follow them where traffic is low.
func (a *Analysis) isUndecided() bool {
	ratio := a.allRoutes.logLikelihoodRatio
	for _, tests := range a.tests {
		ratio = max(ratio, tests.failures.logLikelihoodRatio)
	}
	return ratio >= undecidedRatio
}

// mayUpdate reports whether the answers since the last evaluation are all that is new.
func (a *Analysis) mayUpdate(elapsed time.Duration, target *Evidence) bool {
	return a.complete && target.Complete && target.AfterGap == a.afterGap && elapsed-a.evaluatedAt <= maxEvaluationGap &&
		a.isIncludedIn(target.Totals)
}

// isIncludedIn reports whether the stats have all answers that the tests include. They don't if the reports are older, or if the counts of
// a proxy that has ended are no longer kept.
func (a *Analysis) isIncludedIn(target StatsByRoute) bool {
	for route, processed := range a.processed {
		current := target[route]
		if !current.includes(processed) {
			return false
		}
	}
	return true
}

// replay begins the tests again with all answers in their order.
func (a *Analysis) replay(target *Evidence, baseline StatsByRoute) {
	a.tests, a.allRoutes = map[string]routeTests{}, sequentialTest{}
	a.processed = maps.Clone(target.Totals)
	expectations := expectationsOf(target.Totals, baseline)
	for _, answer := range target.Answers() {
		a.add(answer.Route, answer.Interval, expectations[answer.Route])
	}
}

// update adds the answers since the last evaluation to the tests.
func (a *Analysis) update(target, baseline StatsByRoute) {
	expectations := expectationsOf(target, baseline)
	for _, route := range slices.Sorted(maps.Keys(target)) {
		current := target[route]
		recent := current.since(a.processed[route])
		a.processed[route] = current
		interval := NewInterval(0, &recent)
		a.add(route, &interval, expectations[route])
	}
}

// add adds answers to the tests of a route and to the one of all routes.
func (a *Analysis) add(route string, next *Interval, expected expectation) {
	updated := a.tests[route].add(next, expected)
	a.tests[route] = updated
	a.allRoutes.add(next.Bad, next.Good, expected.badShare)
	a.rejected = a.rejected || updated.rejects()
	a.peak = max(a.peak, updated.ratio())
}

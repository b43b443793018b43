package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Rules of judgement.
const (
	minBadAnswers         = 3    // bad answers from which on a version can be found bad
	rejectThreshold       = 6.0  // log of how much likelier a bad version gives what was seen than a good one, to find it bad
	minBaselineBadShare   = 0.01 // of bad answers that a good version is taken to give
	maxBaselineBadShare   = 0.3  // the same, however bad the version in service is
	badMargin             = 0.25 // share of bad answers above that, which a bad version is taken to give
	priorAnswers          = 20   // good answers that the version in service is credited with
	slowBuckets           = 4    // classes of time above the median of the version in service that make an answer slow
	minBaselineAnswers    = 10   // latencyCount answers of the version in service that make a median
	minGoodAnswers        = 3    // good answers without which no version is finished before the last moment
	minSentWithoutAnswers = 8    // requests sent from which on a version that has answered hardly any is bad
)

// When an order ends that isn't found bad, before its term, so that the end is known in time.
const (
	finishEarly      = 700 * time.Millisecond
	finishEarlyShare = 0.04 // of the time to the term, where that is more
	deadlineMargin   = 300 * time.Millisecond
)

// StatsByRoute is what was seen of one version, by route.
type StatsByRoute map[string]Stats

// Add takes in what was seen on a route.
func (e StatsByRoute) Add(route string, tally Stats) {
	sum := e[route]
	sum.Add(tally)
	e[route] = sum
}

// Total sums up all routes.
func (e StatsByRoute) Total() Stats {
	var sum Stats
	for _, t := range e {
		sum.Add(t)
	}
	return sum
}

// Analysis judges one order by what is seen of it from round to round. On each route it weighs answer by answer how much more
// likely those of the target are from a bad version than from one like that in service, and begins anew whenever the
// evidence speaks for the target: what was good in the beginning doesn't excuse what comes later, and what many routes
// answer well doesn't hide that one fails.
type Analysis struct {
	processed StatsByRoute // of the target, at the last round
	tests     map[string]routeTests
	bad       bool
}

// routeTests is the evidence against the target on one route.
type routeTests struct {
	failures, latency sequentialTest
}

// sequentialTest is one sequential test.
type sequentialTest struct {
	logLikelihoodRatio float64 // logarithm of the likelihood ratio, since it was last below 0
	badAnswers         int64   // answers that spoke against the target since then
}

// NewAnalysis returns a trial that has seen nothing.
func NewAnalysis() *Analysis {
	return &Analysis{processed: StatsByRoute{}, tests: map[string]routeTests{}}
}

// Evaluate tells what becomes of an order, given how long it has been in service and all that was seen so far of its target
// and of the version in service: Finished, Reverted, or InService while that is open.
func (t *Analysis) Evaluate(roll Rollout, elapsed time.Duration, target, baseline StatsByRoute) State {
	t.update(target, baseline)
	if t.bad {
		return Reverted
	}
	term := time.Duration(roll.OverMs) * time.Millisecond
	early := max(finishEarly, time.Duration(finishEarlyShare*float64(term)))
	sum := target.Total()
	switch {
	case elapsed < term-early:
		return InService
	case sum.Good >= minGoodAnswers:
		return Finished
	case elapsed < term-deadlineMargin:
		return InService
	case sum.Sent >= minSentWithoutAnswers:
		return Reverted
	}
	return Finished
}

// update takes in what has come since the last round.
func (t *Analysis) update(target, baseline StatsByRoute) {
	all := baseline.Total()
	for _, route := range routesOf(target) {
		now := target[route]
		if !now.includes(t.processed[route]) {
			continue // an older report came late
		}
		fresh := now.since(t.processed[route])
		t.processed[route] = now
		base := baseline[route]
		if base.Good+base.Bad < minBaselineAnswers {
			base = all
		}
		found := t.tests[route]
		found.failures.add(fresh.Bad, fresh.Good, baselineBadShare(base.Bad, base.Good))
		if base.latencyCount() >= minBaselineAnswers {
			from := base.medianBucket() + slowBuckets
			slow := fresh.countFromBucket(from)
			found.latency.add(slow, fresh.latencyCount()-slow, baselineBadShare(base.countFromBucket(from), base.latencyCount()-base.countFromBucket(from)))
		}
		t.tests[route] = found
		t.bad = t.bad || found.failures.rejectsTarget() || found.latency.rejectsTarget()
	}
}

func routesOf(evidence StatsByRoute) []string {
	routes := make([]string, 0, len(evidence))
	for route := range evidence {
		routes = append(routes, route)
	}
	slices.SortFunc(routes, cmp.Compare)
	return routes
}

// baselineBadShare is the share of bad answers that a version like that in service gives.
func baselineBadShare(bad, good int64) float64 {
	return min(max(float64(bad)/float64(bad+good+priorAnswers), minBaselineBadShare), maxBaselineBadShare)
}

// add weighs answers against the share of bad ones that is usual.
func (s *sequentialTest) add(bad, good int64, usual float64) {
	worse := usual + badMargin
	s.logLikelihoodRatio += float64(bad)*math.Log(worse/usual) + float64(good)*math.Log((1-worse)/(1-usual))
	s.badAnswers += bad
	if s.logLikelihoodRatio <= 0 {
		*s = sequentialTest{}
	}
}

func (s *sequentialTest) rejectsTarget() bool {
	return s.badAnswers >= minBadAnswers && s.logLikelihoodRatio >= rejectThreshold
}

package rollout

import "math"

// Parameters of the sequential tests.
const (
	minBadAnswers       = 3    // bad answers since the last reset needed to reject a target
	rejectThreshold     = 8.5  // log-likelihood ratio, bad to good version, from which a target is rejected
	minBaselineBadShare = 0.01 // lower bound of the assumed share of bad answers of a good version
	maxBaselineBadShare = 0.3  // upper bound of that share, however bad the baseline is
	badMargin           = 0.25 // added to a good version's share of bad answers for the assumed share of a bad one
	priorAnswers        = 20   // good answers added to the baseline's own when its share of bad answers is estimated
)

// sequentialTest is a sequential probability ratio test of the hypothesis that a version is bad against the hypothesis that it is
// as good as the baseline. It is reset whenever the likelihood ratio falls to 1 or below: good answers at first must not offset
// later bad ones.
type sequentialTest struct {
	logLikelihoodRatio float64 // since the last reset
	badAnswers         int64   // since the last reset
}

// add updates the ratio with answers. goodShare is the assumed share of bad answers of a good version.
func (t *sequentialTest) add(bad, good int64, goodShare float64) {
	badShare := goodShare + badMargin
	t.logLikelihoodRatio += float64(bad)*math.Log(badShare/goodShare) + float64(good)*math.Log((1-badShare)/(1-goodShare))
	t.badAnswers += bad
	if t.logLikelihoodRatio <= 0 {
		*t = sequentialTest{}
	}
}

// rejectsTarget reports whether the answers since the last reset suffice to reject the target.
func (t *sequentialTest) rejectsTarget() bool {
	return t.badAnswers >= minBadAnswers && t.logLikelihoodRatio >= rejectThreshold
}

// baselineBadShare estimates the share of bad answers of a version that is as good as the baseline, from the baseline's answers.
func baselineBadShare(bad, good int64) float64 {
	return min(max(float64(bad)/float64(bad+good+priorAnswers), minBaselineBadShare), maxBaselineBadShare)
}

// routeTests holds the two tests of one route.
type routeTests struct {
	failures, latency sequentialTest
}

// add returns the tests after the target's next answers have been added to them.
func (t routeTests) add(next *Interval, expected expectation) routeTests {
	t.failures.add(next.Bad, next.Good, expected.badShare)
	if expected.knowsLatency {
		all, slow := next.countLatencies(expected.slowFrom)
		t.latency.add(slow, all-slow, expected.slowShare)
	}
	return t
}

// ratio returns the higher log-likelihood ratio of the two tests.
func (t routeTests) ratio() float64 {
	return max(t.failures.logLikelihoodRatio, t.latency.logLikelihoodRatio)
}

// rejects reports whether either test rejects the target.
func (t routeTests) rejects() bool {
	return t.failures.rejectsTarget() || t.latency.rejectsTarget()
}

package rollout

import "math"

// Parameters of the sequential tests.
const (
	minBadAnswers       = 3    // bad answers needed to reject a target
	rejectThreshold     = 8.5  // log-likelihood ratio of a bad to a good version from which on a target is rejected
	minBaselineBadShare = 0.01 // lower bound of the share of bad answers that a good version is assumed to give
	maxBaselineBadShare = 0.3  // upper bound of it, however bad the baseline is
	badMargin           = 0.25 // a bad version is assumed to give this share of bad answers more than a good one
	priorAnswers        = 20   // good answers that the baseline is credited with
)

// sequentialTest is a sequential probability ratio test of the hypothesis that a version is bad against the one that it is as
// good as the baseline. The ratio is reset whenever it falls below 1: good answers in the beginning must not excuse later bad ones.
type sequentialTest struct {
	logLikelihoodRatio float64 // since the last reset
	badAnswers         int64   // since the last reset
}

// add weighs answers, given the share of bad ones that a good version gives.
func (t *sequentialTest) add(bad, good int64, goodShare float64) {
	badShare := goodShare + badMargin
	t.logLikelihoodRatio += float64(bad)*math.Log(badShare/goodShare) + float64(good)*math.Log((1-badShare)/(1-goodShare))
	t.badAnswers += bad
	if t.logLikelihoodRatio <= 0 {
		*t = sequentialTest{}
	}
}

// rejectsTarget reports whether the evidence against the target suffices.
func (t *sequentialTest) rejectsTarget() bool {
	return t.badAnswers >= minBadAnswers && t.logLikelihoodRatio >= rejectThreshold
}

// baselineBadShare is the share of bad answers that a version as good as the baseline is assumed to give.
func baselineBadShare(bad, good int64) float64 {
	return min(max(float64(bad)/float64(bad+good+priorAnswers), minBaselineBadShare), maxBaselineBadShare)
}

package rollout

// Parameters of an expectation.
const (
	slowBucketOffset   = 4  // an answer is slow if its latency bucket is at least this far above the baseline's median bucket
	minBaselineAnswers = 10 // baseline answers needed to use those of one route instead of all routes, and to test the latency
)

// expectation is how a version that is as good as the baseline answers on one route.
type expectation struct {
	badShare     float64
	knowsLatency bool    // the baseline has enough answers to test the latency
	slowFrom     int     // first latency bucket of slow answers
	slowShare    float64 // share of slow answers
}

// expectationsOf returns the expectation of each route of the target.
func expectationsOf(target, baseline StatsByRoute) map[string]expectation {
	allRoutes := baseline.Total()
	expectations := make(map[string]expectation, len(target))
	for route := range target {
		expectations[route] = newExpectation(baseline[route], allRoutes)
	}
	return expectations
}

// newExpectation returns the expectation that follows from the baseline's answers on the route, or on all routes if it has few there.
func newExpectation(route, allRoutes Stats) expectation {
	if route.Good+route.Bad < minBaselineAnswers {
		route = allRoutes
	}
	expected := expectation{badShare: baselineBadShare(route.Bad, route.Good)}
	if count := route.latencyCount(); count >= minBaselineAnswers {
		expected.knowsLatency = true
		expected.slowFrom = route.medianBucket() + slowBucketOffset
		slow := route.countFromBucket(expected.slowFrom)
		expected.slowShare = baselineBadShare(slow, count-slow)
	}
	return expected
}

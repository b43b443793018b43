package rollout

// Parameters of what is expected of the target.
const (
	slowBucketOffset   = 4  // an answer is slow if its latency bucket is at least this far above the baseline's median bucket
	minBaselineAnswers = 10 // baseline answers needed to use those of one route instead of all routes, and to test the latency
)

// expectations holds what is expected of a version that is as good as the baseline, by route.
type expectations struct {
	baseline  StatsByRoute
	allRoutes Stats
	byRoute   map[string]expectation // those that were asked for
}

// of returns the expectation of a route.
func (e *expectations) of(route string) expectation {
	expected, known := e.byRoute[route]
	if !known {
		expected = newExpectation(e.baseline[route], e.allRoutes)
		e.byRoute[route] = expected
	}
	return expected
}

// expectation is how a version that is as good as the baseline answers on one route.
type expectation struct {
	badShare     float64
	knowsLatency bool    // the baseline has enough answers to test the latency
	slowFrom     int     // first latency bucket of slow answers
	slowShare    float64 // share of slow answers
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

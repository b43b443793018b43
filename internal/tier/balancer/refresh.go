package balancer

import "time"

// While all endpoints of a service are slow, every request with a short deadline is rejected, no call ends, and so no table would show that
// the endpoints have recovered: the counts of a busy service take minutes to decay. Some requests are therefore sent all the same.
const (
	// refreshInterval is the time without an answer or a refresh after which a service sends such a request.
	refreshInterval = time.Second
	// refreshedBelow is the fraction of the median below which the answer to such a request shows that the endpoint's times have changed.
	refreshedBelow = 0.5
)

// mayRefresh reports whether a request may be sent to an endpoint although less time is left than the endpoint's median.
func (svc *service) mayRefresh(now time.Duration, e *endpoint) bool {
	return len(e.inFlight) == 0 && now-max(svc.lastAnswerAt, svc.lastRefreshAt) >= refreshInterval
}

// refreshTables drops the table of an endpoint, and that of the whole service, if a call that took some units of work shows that they don't
// predict the endpoint's times any more.
func (p *callPlan) refreshTables(e *endpoint, units time.Duration) {
	if float64(units) >= refreshedBelow*float64(p.estimatesFor(e).median) {
		return
	}
	p.resetStats(e)
	p.serviceTimes = p.planner.NewTable()
}

package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/metrics"
)

// rejectionsInterval is the interval at which the proxy's own error responses are logged.
const rejectionsInterval = time.Second

// outageRejectionsPerServed is the number of rejected requests per served request above which a proxy is in an outage.
const outageRejectionsPerServed = 3

// rejectionCounter counts the proxy's own error responses by kind, and detects outages.
type rejectionCounter struct {
	mutex  sync.Mutex // guards counts, served and cause
	counts map[apierror.Kind]int
	served int
	cause  error // last error of Programs.Begin; nil: none since the last report

	metrics *metrics.Metrics

	outage outage // used only by the goroutine that reports
}

// newRejectionCounter returns a counter without counts. run reports its counts.
func newRejectionCounter(options *Options) *rejectionCounter {
	return &rejectionCounter{
		counts:  map[apierror.Kind]int{},
		metrics: options.Metrics,
		outage:  outage{limit: options.MaxOutage, checks: options.Checks},
	}
}

// add counts one error response.
func (r *rejectionCounter) add(kind apierror.Kind) {
	r.metrics.CountRejection(kind.String())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[kind]++
}

// addServed counts a request for which the response of an endpoint is forwarded.
func (r *rejectionCounter) addServed() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.served++
}

// recordCause keeps the error of Programs.Begin for the next report.
func (r *rejectionCounter) recordCause(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.cause = err
}

// takeCounts returns the counts since its last call and resets them.
func (r *rejectionCounter) takeCounts() (counts map[apierror.Kind]int, served int, cause error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts, served, cause = r.counts, r.served, r.cause
	r.counts, r.served, r.cause = map[apierror.Kind]int{}, 0, nil
	return counts, served, cause
}

// run reports at each interval until ctx ends. Proxy.Serve cancels ctx and waits for run to return.
func (r *rejectionCounter) run(ctx context.Context, logger log.Logger) {
	ticker := time.NewTicker(rejectionsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.report(now, logger)
		}
	}
}

// report logs the counts, if there are any, and updates the outage.
func (r *rejectionCounter) report(now time.Time, logger log.Logger) {
	counts, served, cause := r.takeCounts()
	r.outage.observe(now, counts[apierror.NotReady]+counts[apierror.StateUnavailable], served)
	if len(counts) == 0 {
		return
	}
	fields := []any{"msg", "proxy error responses", "served", served}
	for _, kind := range apierror.Kinds() {
		if counts[kind] > 0 {
			fields = append(fields, kind.String(), counts[kind])
		}
	}
	if cause != nil {
		fields = append(fields, "cause", cause)
	}
	level.Info(logger).Log(fields...)
}

// outage tracks whether a proxy rejects most requests because it has no configuration, or no answer from the program stores.
type outage struct {
	limit  time.Duration // duration after which an outage breaks the invariant; 0: never
	checks *invariant.Counter

	active   bool
	since    time.Time
	reported bool // the current outage has been counted as breaking the invariant
}

// observe records how many requests were rejected for such a reason, and how many were served, since the last call. An interval
// without requests does not show whether the outage continues.
func (o *outage) observe(now time.Time, rejected, served int) {
	if rejected+served == 0 {
		return
	}
	if rejected <= outageRejectionsPerServed*served {
		o.active, o.reported = false, false
		return
	}
	if !o.active {
		o.active, o.since = true, now
	}
	if duration := now.Sub(o.since); o.limit > 0 && duration > o.limit && !o.reported {
		o.reported = true
		o.checks.Violated(invariant.Recovery, "outage", duration, "rejected", rejected, "served", served)
	}
}

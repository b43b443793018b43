package versionstats

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/proxy"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// unresponsiveAfter is the time without a first byte from which on a client's cancellation counts as a failure of the version.
const unresponsiveAfter = 2 * time.Second

// maxReportAge is the time after which a report is made again though nothing has changed. With a longer one, a controller that has
// started during a rollout knows the counts of idle proxies later.
const maxReportAge = time.Second

// Balancer is the balancer that a Counter wraps.
type Balancer interface {
	proxy.Selector
	SetEndpoints(endpoints []model.Endpoint)
	SetVersions(versions []view.ServiceVersions)
}

// version identifies one version of a service's software.
type version struct{ service, name string }

// key identifies a set of counts.
type key struct {
	version
	route string
	order uint64 // number of the rollout's order; 0: outside of rollouts
}

// activeOrder is the order of a rollout in progress.
type activeOrder struct {
	number uint64
	since  time.Time // when this proxy first learned of it
}

// endpointInfo holds an endpoint's version and the end of its warm-up.
type endpointInfo struct {
	version
	warmUpUntil time.Time // until then its latencies aren't representative of its version
}

// ticket accompanies a selection until Done. It wraps the balancer's own ticket and identifies the counts of the attempt.
type ticket struct {
	inner     any // the balancer's own ticket
	key       key
	counted   bool // the attempt is counted: its endpoint was in Counter.endpoints when it was selected
	warmingUp bool // the endpoint was warming up when it was selected
}

// Counter forwards every call to a Balancer and counts attempts and their outcomes. It is safe for concurrent use.
type Counter struct {
	balancer Balancer
	source   string
	now      func() time.Time

	mutex     sync.Mutex              // guards the fields below; never held while the balancer is called
	endpoints map[string]endpointInfo // by endpoint ID
	stats     map[key]*counts
	orders    map[version]activeOrder // rollouts in progress, by target
	changed   bool                    // a count or the versions have changed since the last report
	reported  time.Time               // when the last report was made
}

// counts are what was counted for a key.
type counts struct {
	rollout.Stats
	history rollout.History // the answers in their order; empty outside of rollouts
}

// New returns a counter without counts. The source identifies this run of the proxy process, as each run counts from zero.
func New(balancer Balancer, source string) *Counter {
	return &Counter{balancer: balancer, source: source, endpoints: map[string]endpointInfo{}, stats: map[key]*counts{},
		orders: map[version]activeOrder{}, now: time.Now}
}

// SetEndpoints sets the list of endpoints, here and in the balancer.
func (c *Counter) SetEndpoints(endpoints []model.Endpoint) {
	now := c.now()
	infos := make(map[string]endpointInfo, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		infos[e.ID] = endpointInfo{version{e.Service, e.Version}, now.Add(time.Duration(e.WarmUpLeftMs) * time.Millisecond)}
	}
	c.mutex.Lock()
	c.endpoints = infos
	c.mutex.Unlock()
	c.balancer.SetEndpoints(endpoints)
}

// SetVersions sets which versions may receive requests, here and in the balancer. A service with a target has a rollout in progress.
func (c *Counter) SetVersions(versions []view.ServiceVersions) {
	c.mutex.Lock()
	orders := map[version]activeOrder{}
	for i := range versions {
		if target := (version{versions[i].Service, versions[i].Target}); target.name != "" {
			orders[target] = activeOrder{number: versions[i].Order, since: c.now()}
			if known, ok := c.orders[target]; ok && known.number == versions[i].Order {
				orders[target] = known
			}
		}
	}
	c.orders = orders
	c.mergeEnded()
	c.changed = true
	c.mutex.Unlock()
	c.balancer.SetVersions(versions)
}

// mergeEnded adds the counts of rollouts that have ended to the counts outside of rollouts, so that a version that is rolled out again
// is judged only by its attempts in the new rollout. The caller must hold the mutex.
func (c *Counter) mergeEnded() {
	for k, ended := range c.stats {
		if k.order == c.orders[k.version].number || k.order == 0 {
			continue
		}
		delete(c.stats, k)
		k.order = 0
		c.countsOf(k).Add(ended.Stats)
	}
}

// Select implements proxy.Selector.
func (c *Counter) Select(ctx context.Context, info *proxy.RequestInfo) (proxy.Selection, error) {
	selection, err := c.balancer.Select(ctx, info)
	if err != nil {
		return selection, err
	}
	t := &ticket{inner: selection.Ticket}
	c.mutex.Lock()
	if e, known := c.endpoints[selection.ID]; known {
		t.key = key{version: e.version, route: info.Route.Name, order: c.orders[e.version].number}
		t.counted, t.warmingUp = true, c.now().Before(e.warmUpUntil)
		c.countsOf(t.key).Sent++
	}
	c.mutex.Unlock()
	selection.Ticket = t
	return selection, nil
}

// FirstEvent implements proxy.Selector.
func (c *Counter) FirstEvent(selection proxy.Selection, load string) {
	selection.Ticket = selection.Ticket.(*ticket).inner
	c.balancer.FirstEvent(selection, load)
}

// Done implements proxy.Selector.
func (c *Counter) Done(selection proxy.Selection, outcome proxy.Outcome) {
	t := selection.Ticket.(*ticket)
	selection.Ticket = t.inner
	c.balancer.Done(selection, outcome)
	if !t.counted {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counted := c.countsOf(t.key)
	observe(&counted.Stats, outcome, t.warmingUp)
	if t.key.order == 0 {
		return
	}
	var answer rollout.Stats
	observe(&answer, outcome, t.warmingUp)
	counted.history.Add(c.now(), &answer)
}

// countsOf returns the counts of a key for a change, and marks the counts as changed. The caller must hold the mutex.
func (c *Counter) countsOf(k key) *counts {
	c.changed = true
	counted := c.stats[k]
	if counted == nil {
		counted = &counts{}
		c.stats[k] = counted
	}
	return counted
}

// observe counts the outcome of an attempt. Attempts that never ran or that the client cancelled early aren't counted, as they say
// nothing about the version; nor are the latencies of an endpoint that is warming up.
func observe(stats *rollout.Stats, outcome proxy.Outcome, warmingUp bool) {
	switch outcome.Result {
	case proxy.Succeeded:
		stats.Good++
		if !warmingUp {
			stats.ObserveLatency(latencyPerEvent(outcome))
		}
	case proxy.ErrorResponse, proxy.IncompleteResponse, proxy.TimedOut, proxy.DeadlineExceeded:
		stats.Bad++
	case proxy.ClientClosed:
		if outcome.FirstByte == 0 && outcome.Elapsed >= unresponsiveAfter {
			stats.Bad++
		}
	}
}

// latencyPerEvent returns the latency of a response. For a stream it returns the latency per event, since streams differ in length.
func latencyPerEvent(outcome proxy.Outcome) time.Duration {
	if outcome.Events == 0 {
		return outcome.Elapsed
	}
	return outcome.Elapsed / time.Duration(outcome.Events+2)
}

// Report returns the counts since the start of the process. It returns false if no rollout is in progress, or if nothing has changed since
// a report that is not older than maxReportAge: a controller that has started since then has no earlier report.
func (c *Counter) Report() (wire.VersionStatsReport, bool) {
	now := c.now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.orders) == 0 || !c.changed && now.Sub(c.reported) < maxReportAge {
		return wire.VersionStatsReport{}, false
	}
	c.changed, c.reported = false, now
	report := wire.VersionStatsReport{Source: c.source, Versions: make([]wire.VersionStats, 0, len(c.stats))}
	for k, counted := range c.stats {
		entry := wire.VersionStats{Service: k.service, Route: k.route, Version: k.name, Order: k.order, Stats: counted.Stats}
		if active := c.orders[k.version]; k.order != 0 && active.number == k.order {
			entry.AgeMs = now.Sub(active.since).Milliseconds()
			entry.History = counted.history.Intervals(now)
		}
		report.Versions = append(report.Versions, entry)
	}
	slices.SortFunc(report.Versions, func(a, b wire.VersionStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Order, b.Order))
	})
	return report, true
}

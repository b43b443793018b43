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

// unresponsiveAfter is the time without a first byte after which a client's cancellation counts as a failure of the endpoint.
const unresponsiveAfter = 2 * time.Second

// Balancer is the balancer whose selections are counted.
type Balancer interface {
	proxy.Selector
	SetEndpoints(endpoints []model.Endpoint)
	SetVersions(versions []view.ServiceVersions)
}

// version names one version of a service's software.
type version struct{ service, number string }

// key identifies what is counted together.
type key struct {
	version
	route string
	order uint64 // of the rollout; 0: none
}

// activeOrder is a rollout in progress.
type activeOrder struct {
	number uint64
	since  time.Time // when this proxy first learned of it
}

// endpointInfo is what the list says of an endpoint.
type endpointInfo struct {
	version
	warmUpUntil time.Time // its latencies say nothing of its version until then
}

// ticket is what a selection carries until Done: the balancer's own ticket, and where the attempt is counted.
type ticket struct {
	inner     any // the balancer's ticket
	key       key
	counted   bool // the endpoint was in the list
	warmingUp bool // the endpoint was warming up when it was selected
}

// Counter passes every call on to a Balancer and counts. It is safe for concurrent use.
type Counter struct {
	balancer Balancer
	source   string
	now      func() time.Time

	mutex     sync.Mutex              // guards the fields below; never held while the balancer is called
	endpoints map[string]endpointInfo // by endpoint ID
	stats     map[key]*rollout.Stats
	orders    map[version]activeOrder // rollouts in progress, by target
	changed   bool                    // since the last Report
}

// New returns a counter without counts. The source identifies this start of the proxy: counts are since then.
func New(balancer Balancer, source string) *Counter {
	return &Counter{balancer: balancer, source: source, endpoints: map[string]endpointInfo{}, stats: map[key]*rollout.Stats{},
		orders: map[version]activeOrder{}, now: time.Now}
}

// SetEndpoints sets the list of endpoints.
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

// SetVersions sets which versions may receive requests, and so which rollouts are in progress.
func (c *Counter) SetVersions(versions []view.ServiceVersions) {
	c.mutex.Lock()
	orders := map[version]activeOrder{}
	for i := range versions {
		if target := (version{versions[i].Service, versions[i].Target}); target.number != "" {
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

// mergeEnded adds the counts of rollouts that have ended to those outside of any, so that a version that is rolled out again
// is judged by what is counted from then on. The caller must hold the mutex.
func (c *Counter) mergeEnded() {
	for of, ended := range c.stats {
		if of.order == c.orders[of.version].number || of.order == 0 {
			continue
		}
		delete(c.stats, of)
		of.order = 0
		c.statsOf(of).Add(*ended)
	}
}

// Select implements proxy.Selector.
func (c *Counter) Select(ctx context.Context, facts *proxy.RequestInfo) (proxy.Selection, error) {
	selection, err := c.balancer.Select(ctx, facts)
	if err != nil {
		return selection, err
	}
	t := &ticket{inner: selection.Ticket}
	c.mutex.Lock()
	if e, known := c.endpoints[selection.ID]; known {
		t.key = key{version: e.version, route: facts.Route.Name, order: c.orders[e.version].number}
		t.counted, t.warmingUp = true, c.now().Before(e.warmUpUntil)
		c.statsOf(t.key).Sent++
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
	observe(c.statsOf(t.key), outcome, t.warmingUp)
}

// statsOf returns the counts of a key, which are about to change. The caller must hold the mutex.
func (c *Counter) statsOf(of key) *rollout.Stats {
	c.changed = true
	t := c.stats[of]
	if t == nil {
		t = &rollout.Stats{}
		c.stats[of] = t
	}
	return t
}

// observe counts the outcome of an attempt. What never ran and what the client cancelled early says nothing of a version, nor
// does the latency of an endpoint that is warming up.
func observe(t *rollout.Stats, outcome proxy.Outcome, warmingUp bool) {
	switch outcome.Result {
	case proxy.Succeeded:
		t.Good++
		if !warmingUp {
			t.ObserveLatency(latencyPerEvent(outcome))
		}
	case proxy.ErrorResponse, proxy.IncompleteResponse, proxy.TimedOut, proxy.DeadlineExceeded:
		t.Bad++
	case proxy.ClientClosed:
		if outcome.FirstByte == 0 && outcome.Took >= unresponsiveAfter {
			t.Bad++
		}
	}
}

// latencyPerEvent is the latency of a response; of a stream, for each event, since their numbers differ.
func latencyPerEvent(outcome proxy.Outcome) time.Duration {
	if outcome.Events == 0 {
		return outcome.Took
	}
	return outcome.Took / time.Duration(outcome.Events+2)
}

// Report returns the counts since the start. It reports false if no rollout is in progress or no count has changed since the
// last call.
func (c *Counter) Report() (wire.VersionStatsReport, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.orders) == 0 || !c.changed {
		return wire.VersionStatsReport{}, false
	}
	c.changed = false
	report := wire.VersionStatsReport{Source: c.source, Versions: make([]wire.VersionStats, 0, len(c.stats))}
	for of, t := range c.stats {
		counted := wire.VersionStats{Service: of.service, Route: of.route, Version: of.number, Order: of.order, Stats: *t}
		if active := c.orders[of.version]; of.order != 0 && active.number == of.order {
			counted.AgeMs = c.now().Sub(active.since).Milliseconds()
		}
		report.Versions = append(report.Versions, counted)
	}
	slices.SortFunc(report.Versions, func(a, b wire.VersionStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Order, b.Order))
	})
	return report, true
}

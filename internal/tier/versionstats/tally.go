// Package versionstats counts, inside one proxy, what the versions of each service's software have answered, so that a roll-out
// can be judged by what all proxies have seen together.
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

// silence is the time without a first byte after which a client that goes counts against the endpoint.
const silence = 2 * time.Second

// Scheduler is the chooser whose choices are counted.
type Scheduler interface {
	proxy.Selector
	SetEndpoints(endpoints []model.Endpoint)
	SetVersions(versions []view.ServiceVersions)
}

// version names one version of a service's software.
type version struct{ service, number string }

// key names what is counted together.
type key struct {
	version
	route string
	order uint64 // that rolls the version out; 0: none
}

// trial is an order to roll a version out.
type trial struct {
	order uint64
	since time.Time // when this proxy first heard of it
}

// listed is what the list tells of an endpoint.
type listed struct {
	version
	coldUntil time.Time // it is slow until then, whatever its version
}

// ticket is what a choice carries back: the scheduler's own ticket, and where the attempt is counted.
type ticket struct {
	inner   any
	key     key
	counted bool
	cold    bool
}

// Counter passes everything on to a Scheduler and counts. It is safe for concurrent use.
type Counter struct {
	scheduler Scheduler
	source    string
	now       func() time.Time

	mutex    sync.Mutex
	versions map[string]listed // by endpoint
	tallies  map[key]*rollout.Stats
	trials   map[version]trial // the orders in service
	changed  bool              // since the last report
}

// New returns a counter without counts. The source names this start of the proxy.
func New(scheduler Scheduler, source string) *Counter {
	return &Counter{scheduler: scheduler, source: source, versions: map[string]listed{}, tallies: map[key]*rollout.Stats{},
		trials: map[version]trial{}, now: time.Now}
}

// SetEndpoints takes over the list of endpoints.
func (c *Counter) SetEndpoints(endpoints []model.Endpoint) {
	now := c.now()
	versions := make(map[string]listed, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		versions[e.ID] = listed{version{e.Service, e.Version}, now.Add(time.Duration(e.WarmUpLeftMs) * time.Millisecond)}
	}
	c.mutex.Lock()
	c.versions = versions
	c.mutex.Unlock()
	c.scheduler.SetEndpoints(endpoints)
}

// SetVersions takes over which versions may take requests.
func (c *Counter) SetVersions(versions []view.ServiceVersions) {
	c.mutex.Lock()
	trials := map[version]trial{}
	for i := range versions {
		if target := (version{versions[i].Service, versions[i].Target}); target.number != "" {
			trials[target] = trial{order: versions[i].Order, since: c.now()}
			if known, ok := c.trials[target]; ok && known.order == versions[i].Order {
				trials[target] = known
			}
		}
	}
	c.trials = trials
	c.foldEnded()
	c.changed = true
	c.mutex.Unlock()
	c.scheduler.SetVersions(versions)
}

// foldEnded adds what was counted for orders that have ended to what is counted outside of any, so that a version that is
// rolled out again is judged by what comes from then on. The caller holds the mutex.
func (c *Counter) foldEnded() {
	for of, counted := range c.tallies {
		if of.order == c.trials[of.version].order || of.order == 0 {
			continue
		}
		delete(c.tallies, of)
		of.order = 0
		c.tally(of).Add(*counted)
	}
}

// Select implements proxy.Selector.
func (c *Counter) Select(ctx context.Context, facts *proxy.RequestInfo) (proxy.Selection, error) {
	choice, err := c.scheduler.Select(ctx, facts)
	if err != nil {
		return choice, err
	}
	t := &ticket{inner: choice.Ticket}
	c.mutex.Lock()
	if e, known := c.versions[choice.ID]; known {
		t.key = key{version: e.version, route: facts.Route.Name, order: c.trials[e.version].order}
		t.counted, t.cold = true, c.now().Before(e.coldUntil)
		c.tally(t.key).Sent++
	}
	c.mutex.Unlock()
	choice.Ticket = t
	return choice, nil
}

// FirstEvent implements proxy.Selector.
func (c *Counter) FirstEvent(choice proxy.Selection, load string) {
	choice.Ticket = choice.Ticket.(*ticket).inner
	c.scheduler.FirstEvent(choice, load)
}

// Done implements proxy.Selector.
func (c *Counter) Done(choice proxy.Selection, outcome proxy.Outcome) {
	t := choice.Ticket.(*ticket)
	choice.Ticket = t.inner
	c.scheduler.Done(choice, outcome)
	if !t.counted {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	add(c.tally(t.key), outcome, t.cold)
}

// tally returns the tally of a key, which is about to change. The caller holds the mutex.
func (c *Counter) tally(of key) *rollout.Stats {
	c.changed = true
	t := c.tallies[of]
	if t == nil {
		t = &rollout.Stats{}
		c.tallies[of] = t
	}
	return t
}

// add counts how an attempt ended. What never ran and what the client called off early says nothing about a version, nor
// does the time that an endpoint takes that has only just started.
func add(t *rollout.Stats, outcome proxy.Outcome, cold bool) {
	switch outcome.Result {
	case proxy.Succeeded:
		t.Good++
		if !cold {
			t.ObserveLatency(pace(outcome))
		}
	case proxy.ErrorResponse, proxy.IncompleteResponse, proxy.TimedOut, proxy.DeadlineExceeded:
		t.Bad++
	case proxy.ClientClosed:
		if outcome.FirstByte == 0 && outcome.Took >= silence {
			t.Bad++
		}
	}
}

// pace is the time that an answer took; of a stream for each event, since their numbers differ.
func pace(outcome proxy.Outcome) time.Duration {
	if outcome.Events == 0 {
		return outcome.Took
	}
	return outcome.Took / time.Duration(outcome.Events+2)
}

// Report returns what is to be reported now: the counts since the start, if an order is in service and any has changed
// since the last report.
func (c *Counter) Report() (wire.VersionStatsReport, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.trials) == 0 || !c.changed {
		return wire.VersionStatsReport{}, false
	}
	c.changed = false
	report := wire.VersionStatsReport{Source: c.source, Versions: make([]wire.VersionStats, 0, len(c.tallies))}
	for of, t := range c.tallies {
		counted := wire.VersionStats{Service: of.service, Route: of.route, Version: of.number, Order: of.order, Stats: *t}
		if under := c.trials[of.version]; of.order != 0 && under.order == of.order {
			counted.AgeMs = c.now().Sub(under.since).Milliseconds()
		}
		report.Versions = append(report.Versions, counted)
	}
	slices.SortFunc(report.Versions, func(a, b wire.VersionStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Order, b.Order))
	})
	return report, true
}

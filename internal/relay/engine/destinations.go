package engine

import (
	"errors"
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// startWatches starts a watch for each front that has none running.
func (c *Core) startWatches() {
	c.watchAt = time.Time{}
	for _, f := range c.frontsInOrder {
		if f.stopWatch != nil {
			continue
		}
		f.lastWatch++
		number := f.lastWatch
		f.stopWatch = c.shell.Watch(f.Front, f.listIndex, func(p EndpointList) { c.queue <- listChanged{f, number, p} },
			func(err error) { c.queue <- watchEnded{f, number, err} })
		c.recordAction(capture.Action{Kind: capture.WatchStarted, Number: uint64(f.number), Target: uint32(number), After: f.listIndex})
	}
}

// listChanged is the event that a front's endpoint list has changed; watch is the number of the watch that reported it, 0 for the list
// known at the start.
type listChanged struct {
	front *frontState
	watch int
	EndpointList
}

func (l listChanged) apply(core *Core, now time.Time) {
	// A report, even a complete list, is outdated once a later watch has reported; until then it is applied. A change with an older index
	// than the list is already contained in the list.
	if l.watch < l.front.listReportedBy || !l.Complete && l.Index < l.front.listIndex {
		return
	}
	l.front.listIndex, l.front.listReportedBy = l.Index, l.watch
	listed := control.Event{Kind: control.Listed, Complete: l.Complete}
	if l.Complete {
		core.unlistAll(l.front, now)
		for _, f := range core.frontsInOrder { // the module gets one list for all fronts: those of the other fronts are unchanged
			for _, number := range slices.Sorted(maps.Values(f.listed)) { // in a deterministic order
				listed.Endpoints = append(listed.Endpoints, core.moduleEndpoint(number, core.destinations[number]))
			}
		}
	}
	for _, d := range l.Destinations {
		core.listDestination(l.front, &d, now)
		listed.Endpoints = append(listed.Endpoints, core.moduleEndpoint(d.number, &d))
	}
	core.moduleEvents = append(core.moduleEvents, listed)
}

// unlistAll removes all destinations from a front's list; the caller adds those of the new list.
func (c *Core) unlistAll(f *frontState, now time.Time) {
	for _, number := range f.listed {
		if d := c.destinations[number]; d.removedAt.IsZero() {
			d.removedAt = now
		}
	}
	f.listed = map[string]uint32{}
}

// listDestination adds a destination to a front's list, or marks it as removed, and gives it its number.
func (c *Core) listDestination(f *frontState, d *Destination, now time.Time) {
	d.front, d.number = f, c.destinationNumber(f, d.Name)
	if d.State == control.Removed {
		d.removedAt = now
	}
	if d.State != control.Ready { // no new calls go there, and another endpoint may take over its address
		c.closeIdle(d)
	}
	c.destinations[d.number], f.listed[d.Name] = d, d.number
}

// moduleEndpoint converts a destination to the module's endpoint.
func (c *Core) moduleEndpoint(number uint32, d *Destination) control.Endpoint {
	state := d.State
	if state == control.Ready && c.isShut(d.Partner) {
		state = control.Draining // no new calls go there
	}
	return control.Endpoint{ID: number, Zone: slices.Index(c.settings.Zones, d.Zone), Kind: slices.Index(c.settings.KindNames, d.Kind),
		Destination: d.front.number<<20 + d.Partner, State: state, ListedLimit: c.settings.Weight(d.Weight), MaxRate: c.mandate.RateLimitTo(d.Partner)}
}

// watchEnded is the event that a watch was lost.
type watchEnded struct {
	front *frontState
	watch int
	err   error
}

func (w watchEnded) apply(core *Core, now time.Time) {
	if w.watch != w.front.lastWatch || w.front.stopWatch == nil {
		return // the core itself has stopped or replaced that watch
	}
	w.front.stopWatch()
	w.front.stopWatch = nil
	core.log.Info("endpoint list watch lost", "front", w.front.name, "err", w.err)
	hadReported := w.front.listReportedBy == w.watch // the watch had been established: discovery may be reachable
	switch {
	case hadReported && errors.Is(w.err, ErrWatchTimeout):
		// Discovery is probably reachable and the watches of all relays have timed out together. The changes that they miss soon count as
		// known to the relays, so each relay reopens its watch without waiting for the module, at its own time within WatchSpread.
		core.watchAt = now.Add(core.limits.WatchSpread * time.Duration(core.settings.Index) / time.Duration(max(core.settings.Peers, 1)))
	case core.settings.MustSubscribe:
		core.moduleEvents = append(core.moduleEvents, control.Event{Kind: control.ListFailed}) // the module says when to retry
	case hadReported:
		core.watchAt = now // the relay must know discovery's changes at once
	default:
		core.watchAt = now.Add(core.limits.WatchRetry)
	}
}

// DiscoveryMoved reports that the address of a front's discovery has changed: its watch is restarted and its notices are resent there at
// once. It may be called from any goroutine; an unknown front is ignored.
func (c *Core) DiscoveryMoved(front string) { c.queue <- discoveryMoved{front} }

// discoveryMoved is the event that the address of a front's discovery has changed.
type discoveryMoved struct{ front string }

func (v discoveryMoved) apply(c *Core, now time.Time) {
	f := c.fronts[v.front]
	if f == nil {
		return
	}
	if f.stopWatch != nil {
		f.stopWatch()
		f.stopWatch = nil // watchEnded ignores the end of the stopped watch
	}
	c.watchAt = now
	c.recordNote(now, "discovery of "+v.front+" has moved")
	if f.cancelNotify != nil {
		f.cancelNotify() // its notices are reported as not accepted, and sent again
		f.movedDuringNotify = true
	}
	f.retryAt, f.backoff = now, 0
}

// destinationNumber returns the module's id of a destination, and assigns one if it has none.
func (c *Core) destinationNumber(f *frontState, name string) uint32 {
	key := f.name + " " + name
	number, ok := c.destinationNumbers[key]
	if !ok {
		c.lastDestination++
		number = c.lastDestination
		c.destinationNumbers[key] = number
		if c.recorder != nil {
			c.recorder.Name(capture.Name{Number: number, Front: f.name, Name: name})
		}
	}
	return number
}

// serves reports whether the front has a destination of that partner, listed or removed less than forgetAfter ago.
func (c *Core) serves(f *frontState, partner int) bool {
	for _, d := range c.destinations {
		if d.front == f && d.Partner == partner {
			return true
		}
	}
	return false
}

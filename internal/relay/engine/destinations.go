package engine

import (
	"errors"
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// watch starts a watch for each front that has none.
func (c *Core) watch() {
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

// listChanged is what a watch reports of the endpoint list; watch is that watch's number, 0 that of none.
type listChanged struct {
	front *frontState
	watch int
	EndpointList
}

func (l listChanged) apply(core *Core, now time.Time) {
	// What a watch reports after a later watch has reported is older, also where it is a complete list; until then it counts, since the
	// relay must follow what it has heard. A change of an older version adds nothing to what is known.
	if l.watch < l.front.listReportedBy || !l.Complete && l.Index < l.front.listIndex {
		return
	}
	l.front.listIndex, l.front.listReportedBy = l.Index, l.watch
	listed := control.Event{Kind: control.Listed, Complete: l.Complete}
	if l.Complete {
		core.forgetList(l.front, now)
		for _, f := range core.frontsInOrder { // a complete list is one front's; the others' stand
			for _, number := range slices.Sorted(maps.Values(f.listed)) { // the module learns them in this order
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

// forgetList removes all of a front's destinations from its list; the caller adds those of the new list again.
func (c *Core) forgetList(f *frontState, now time.Time) {
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
	if d.State != control.Ready { // it gets nothing new, and another endpoint may take over its address
		c.closeIdle(d)
	}
	c.destinations[d.number], f.listed[d.Name] = d, d.number
}

// moduleEndpoint is a destination as the module has it.
func (c *Core) moduleEndpoint(number uint32, d *Destination) control.Endpoint {
	state := d.State
	if state == control.Ready && c.isShut(d.Partner) {
		state = control.Draining // it gets nothing new
	}
	return control.Endpoint{ID: number, Zone: slices.Index(c.settings.Zones, d.Zone), Kind: slices.Index(c.settings.KindNames, d.Kind),
		Destination: d.front.number<<20 + d.Partner, State: state, Weight: c.settings.Weight(d.Weight), MaxRate: c.governor.RateLimitTo(d.Partner)}
}

// watchEnded is a watch that is lost.
type watchEnded struct {
	front *frontState
	watch int
	err   error
}

func (w watchEnded) apply(core *Core, now time.Time) {
	if w.watch != w.front.lastWatch || w.front.stopWatch == nil {
		return // the core ended it itself, for another one
	}
	w.front.stopWatch()
	w.front.stopWatch = nil
	core.log.Info("endpoint list watch lost", "front", w.front.name, "err", w.err)
	hadReported := w.front.listReportedBy == w.watch // it had come up: discovery may be there
	switch {
	case hadReported && errors.Is(w.err, ErrWatchTimeout):
		// Discovery is reachable and all relays' watches have fallen silent together: what they miss soon counts as known, so each relay
		// reopens its own by itself, spread over WatchSpread.
		core.watchAt = now.Add(core.limits.WatchSpread * time.Duration(core.settings.Index) / time.Duration(max(core.settings.Peers, 1)))
	case core.settings.MustSubscribe:
		core.moduleEvents = append(core.moduleEvents, control.Event{Kind: control.ListFailed}) // the module says when to retry
	case hadReported:
		core.watchAt = now // what discovery has counts as known at once
	default:
		core.watchAt = now.Add(core.limits.WatchRetry)
	}
}

// DiscoveryMoved reports that a front's discovery has another address now: its watch and its notices go there at once. It may be called from
// any goroutine; an unknown front is ignored.
func (c *Core) DiscoveryMoved(front string) { c.queue <- moved{front} }

// moved is a front whose discovery has another address now.
type moved struct{ front string }

func (v moved) apply(c *Core, now time.Time) {
	f := c.fronts[v.front]
	if f == nil {
		return
	}
	if f.stopWatch != nil {
		f.stopWatch()
		f.stopWatch = nil // watchEnded ignores its end
	}
	c.watchAt = now
	c.recordNote(now, "discovery of "+v.front+" has moved")
	if f.cancelNotify != nil {
		f.cancelNotify() // its notices come back as not accepted
		f.movedMeanwhile = true
	}
	f.retryAt, f.backoff = now, 0
}

// destinationNumber returns the module's id of a destination, a new one if it has none.
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

// serves reports whether the front's endpoint list has a destination of that partner, or had one less than forgetAfter ago.
func (c *Core) serves(f *frontState, partner int) bool {
	for _, d := range c.destinations {
		if d.front == f && d.Partner == partner {
			return true
		}
	}
	return false
}

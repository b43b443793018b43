package engine

import (
	"errors"
	"maps"
	"slices"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/capture"
)

// watch begins a watch for each front that has none.
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

func (l listChanged) apply(c *Core, now time.Time) {
	// What a watch reports after one that was begun later has spoken is older, also where it is a complete list; until then it counts:
	// the relay has been told. A change of an older version adds nothing to what is known.
	if l.watch < l.front.listReportedBy || !l.Complete && l.Index < l.front.listIndex {
		return
	}
	l.front.listIndex, l.front.listReportedBy = l.Index, l.watch
	listed := control.Event{Kind: control.Listed, Complete: l.Complete}
	if l.Complete {
		c.forgetList(l.front, now)
		for _, f := range c.frontsInOrder { // a complete list is one front's; the others' stand
			for _, number := range slices.Sorted(maps.Values(f.listed)) { // the module learns them in this order
				listed.Endpoints = append(listed.Endpoints, c.moduleEndpoint(number, c.destinations[number]))
			}
		}
	}
	for _, d := range l.Destinations {
		c.listDestination(l.front, &d, now)
		listed.Endpoints = append(listed.Endpoints, c.moduleEndpoint(d.number, &d))
	}
	c.moduleEvents = append(c.moduleEvents, listed)
}

// forgetList takes all of a front's destinations off its list; those that a new one names come back.
func (c *Core) forgetList(f *frontState, now time.Time) {
	for _, number := range f.listed {
		if d := c.destinations[number]; d.removedAt.IsZero() {
			d.removedAt = now
		}
	}
	f.listed = map[string]uint32{}
}

// listDestination puts a destination on a front's list, or notes that it is leaving it.
func (c *Core) listDestination(f *frontState, d *Destination, now time.Time) {
	d.front, d.number = f, c.destinationNumber(f, d.Name)
	if d.State == control.Removed {
		d.removedAt = now
	}
	if d.State != control.Ready { // it gets nothing new, and another may come to stand at its address
		c.closeIdle(d)
	}
	c.destinations[d.number], f.listed[d.Name] = d, d.number
}

// moduleEndpoint is a destination as the module is told of it.
func (c *Core) moduleEndpoint(number uint32, d *Destination) control.Endpoint {
	state := d.State
	if state == control.Ready && c.isShut(d.Partner) {
		state = control.Draining // it gets nothing new
	}
	return control.Endpoint{ID: number, Zone: slices.Index(c.settings.Zones, d.Zone), Kind: slices.Index(c.settings.KindNames, d.Kind),
		Destination: d.front.number<<20 + d.Partner, State: state, Weight: c.settings.Weight(d.Weight), MaxRate: c.governor.MostTo(d.Partner)}
}

// watchEnded is a watch that is lost.
type watchEnded struct {
	front *frontState
	watch int
	err   error
}

func (w watchEnded) apply(c *Core, now time.Time) {
	if w.watch != w.front.lastWatch || w.front.stopWatch == nil {
		return // it was ended here, for another
	}
	w.front.stopWatch()
	w.front.stopWatch = nil
	c.log.Info("endpoint list watch lost", "front", w.front.name, "err", w.err)
	hadReported := w.front.listReportedBy == w.watch // it had come up: discovery may be there
	switch {
	case hadReported && errors.Is(w.err, ErrWatchTimeout):
		// Discovery is there and all watches have fallen silent together: what they miss counts as told soon, so each opens its
		// own anew by itself, in a moment of its own.
		c.watchAt = now.Add(c.limits.WatchSpread * time.Duration(c.settings.Index) / time.Duration(max(c.settings.Peers, 1)))
	case c.settings.MustSubscribe:
		c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.ListFailed}) // the module says when to ask again
	case hadReported:
		c.watchAt = now // what the agent has counts as told at once
	default:
		c.watchAt = now.Add(c.limits.WatchRetry)
	}
}

// DiscoveryMoved tells that a front's discovery stands somewhere else now: its watch and its notices go there at once.
func (c *Core) DiscoveryMoved(front string) { c.queue <- moved{front} }

// moved is a front whose discovery stands somewhere else now.
type moved struct{ front string }

func (v moved) apply(c *Core, now time.Time) {
	f := c.fronts[v.front]
	if f == nil {
		return
	}
	if f.stopWatch != nil {
		f.stopWatch()
		f.stopWatch = nil // what it still reports of its end is out of date
	}
	c.watchAt = now
	c.recordNote(now, "discovery of "+v.front+" has moved")
	if f.cancelNotify != nil {
		f.cancelNotify() // comes back as not taken
		f.movedMeanwhile = true
	}
	f.retryAt, f.backoff = now, 0
}

// destinationNumber is the module's id of a destination.
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

// serves tells whether the endpoint list names a destination of that partner, or did so until lately.
func (c *Core) serves(f *frontState, partner int) bool {
	for _, d := range c.destinations {
		if d.front == f && d.Partner == partner {
			return true
		}
	}
	return false
}

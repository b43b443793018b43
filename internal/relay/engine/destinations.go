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
		no := f.lastWatch
		f.stopWatch = c.shell.Watch(f.Front, f.listIndex, func(p EndpointList) { c.queue <- listChanged{f, no, p} },
			func(err error) { c.queue <- watchEnded{f, no, err} })
		c.recordAction(capture.Action{Kind: capture.WatchStarted, Number: uint64(f.number), Target: uint32(no), After: f.listIndex})
	}
}

// listChanged is what a watch tells of the endpoint list; no is that watch's, 0 that of none.
type listChanged struct {
	front *frontState
	watch int
	EndpointList
}

func (p listChanged) apply(c *Core, now time.Time) {
	// What a watch tells after one that was begun later has spoken is older, also where it is a whole list; until then it counts:
	// the relay has been told. A change of an older version adds nothing to what is known.
	if p.watch < p.front.listReportedBy || !p.Complete && p.Index < p.front.listIndex {
		return
	}
	p.front.listIndex, p.front.listReportedBy = p.Index, p.watch
	ev := control.Event{Kind: control.Listed, Complete: p.Complete}
	if p.Complete {
		for _, n := range p.front.listed { // unless it is named again below
			if d := c.destinations[n]; d.removedAt.IsZero() {
				d.removedAt = now
			}
		}
		p.front.listed = map[string]uint32{}
		for _, f := range c.frontsInOrder { // a whole list is one front's; the others' stand
			for _, n := range slices.Sorted(maps.Values(f.listed)) { // the module learns them in this order
				ev.Endpoints = append(ev.Endpoints, c.moduleEndpoint(n, c.destinations[n]))
			}
		}
	}
	for _, d := range p.Destinations {
		n := c.destinationNumber(p.front, d.Name)
		d.front, d.number = p.front, n
		if d.State == control.Removed {
			d.removedAt = now
		}
		if d.State != control.Ready { // it gets nothing new, and another may come to stand at its address
			c.closeIdle(&d)
		}
		c.destinations[n], p.front.listed[d.Name] = &d, n
		ev.Endpoints = append(ev.Endpoints, c.moduleEndpoint(n, &d))
	}
	c.moduleEvents = append(c.moduleEvents, ev)
}

func (c *Core) moduleEndpoint(n uint32, d *Destination) control.Endpoint {
	state := d.State
	if state == control.Ready && c.isShut(d.Partner) {
		state = control.Draining // it gets nothing new
	}
	return control.Endpoint{ID: n, Zone: slices.Index(c.settings.Zones, d.Zone), Kind: slices.Index(c.settings.KindNames, d.Kind),
		Destination: d.front.number<<20 + d.Partner, State: state, Weight: c.settings.Weight(d.Weight), MaxRate: c.governor.MostTo(d.Partner)}
}

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
	c.log.Info("the endpoint list's watch is lost", "error", w.err)
	told := w.front.listReportedBy == w.watch // it had come up: discovery may be there
	switch {
	case told && errors.Is(w.err, ErrWatchTimeout):
		// Discovery is there and all watches have fallen silent together: what they miss counts as told soon, so each opens its
		// own anew by itself, in a moment of its own.
		c.watchAt = now.Add(c.limits.WatchSpread * time.Duration(c.settings.Index) / time.Duration(max(c.settings.Peers, 1)))
	case c.settings.MustSubscribe:
		c.moduleEvents = append(c.moduleEvents, control.Event{Kind: control.ListFailed}) // the module says when to ask again
	case told:
		c.watchAt = now // what the agent has counts as told at once
	default:
		c.watchAt = now.Add(c.limits.WatchRetry)
	}
}

// DiscoveryMoved tells that a front's discovery stands somewhere else now: its watch and its notices go there at once.
func (c *Core) DiscoveryMoved(front string) { c.queue <- moved{front} }

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
	n, ok := c.destinationNumbers[key]
	if !ok {
		c.lastDestination++
		n = c.lastDestination
		c.destinationNumbers[key] = n
		if c.recorder != nil {
			c.recorder.Name(capture.Name{Number: n, Front: f.name, Name: name})
		}
	}
	return n
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

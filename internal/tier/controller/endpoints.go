package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/platformlist"
	"mastusher/internal/tier/view"
)

// Timing of the reads of the platform's endpoint list.
const (
	listReadInterval    = 700 * time.Millisecond
	listReadTimeout     = 2500 * time.Millisecond
	leaderCheckInterval = 100 * time.Millisecond // how often a follower checks whether it has become the leader
	initialReads        = 2                      // by a new leader before it publishes: one may miss an endpoint that moved between pages
)

// readLoop reads the platform's list while this member is the leader, and publishes each change.
func (c *Controller) readLoop(ctx context.Context) {
	var publisher EndpointPublisher
	timer := time.NewTimer(leaderCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(c.ReadEndpoints(ctx, &publisher))
	}
}

// EndpointPublisher holds the endpoints that the leader has read and published in its term, so that an unchanged list isn't
// published again. Its zero value is ready for use. It is not safe for concurrent use.
type EndpointPublisher struct {
	stamp  view.Stamp
	last   []model.Endpoint
	reader listReader
	merged platformlist.Merger
	term   uint64 // in which merged was read
}

// ReadEndpoints reads the platform's list once if this member is the leader, and returns the time until the next read.
func (c *Controller) ReadEndpoints(ctx context.Context, publisher *EndpointPublisher) time.Duration {
	status := c.group.Status()
	if !status.IsLeader {
		return leaderCheckInterval
	}
	endpoints, err := c.readCompleteList(ctx, publisher, status.Term)
	if err != nil {
		level.Warn(c.options.Logger).Log("msg", "reading endpoint list failed", "err", err)
		return listReadInterval
	}
	if now := c.group.Status(); !now.IsLeader || now.Term != status.Term {
		return leaderCheckInterval
	}
	c.recordVersions(ctx, endpoints)
	c.publishEndpoints(publisher, endpoints, status.Term)
	return listReadInterval
}

// readCompleteList reads the list, merges it with the earlier reads of the term and returns all endpoints. Reads of an earlier term
// must not be merged: they may be old, and would bring back endpoints that have been removed since.
func (c *Controller) readCompleteList(ctx context.Context, publisher *EndpointPublisher, term uint64) ([]model.Endpoint, error) {
	reads := 1
	if publisher.term != term {
		publisher.merged, reads = platformlist.Merger{}, initialReads
	}
	for range reads {
		endpoints, err := c.readList(ctx, &publisher.reader)
		if err != nil {
			return nil, err
		}
		publisher.merged.Merge(endpoints)
	}
	publisher.term = term
	return publisher.merged.Endpoints(), nil
}

func (c *Controller) publishEndpoints(publisher *EndpointPublisher, endpoints []model.Endpoint, term uint64) {
	update, changed, err := publisher.update(endpoints, term)
	if err != nil {
		level.Error(c.options.Logger).Log("msg", "publishing endpoint list failed", "err", err)
		return
	}
	if changed {
		c.options.Fleet.Publish(update)
	}
}

// update returns the update that publishes a list; changed is false if the same list was already published in this term.
func (p *EndpointPublisher) update(endpoints []model.Endpoint, term uint64) (update view.Update, changed bool, err error) {
	if p.stamp.Term == term && sameEndpoints(p.last, endpoints) {
		return view.Update{}, false, nil
	}
	body, err := json.Marshal(view.EndpointList{Endpoints: endpoints})
	if err != nil {
		return view.Update{}, false, err
	}
	if p.stamp.Term != term {
		p.stamp = view.Stamp{Term: term}
	}
	p.stamp.Sequence++
	p.last = endpoints
	return view.Update{Section: view.EndpointsSection, Stamp: p.stamp, Body: body}, true, nil
}

// sameEndpoints reports whether two lists are equal, apart from the remaining warm-up time of endpoints, which decreases with each
// read.
func sameEndpoints(a, b []model.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y model.Endpoint) bool {
		x.WarmUpLeftMs, y.WarmUpLeftMs = 0, 0
		return x == y
	})
}

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

// Pace of the reads of the platform's list.
const (
	listReadInterval    = 700 * time.Millisecond
	listReadTimeout     = 2500 * time.Millisecond
	leaderCheckInterval = 100 * time.Millisecond // how often a member that isn't the owner looks whether it has become it
	initialReads        = 2                      // of an owner, before it publishes: a single one may miss an endpoint that moved between pages
)

// readLoop reads the platform's list while this member owns the group, and publishes each change.
func (c *Controller) readLoop(ctx context.Context) {
	var lister EndpointPublisher
	timer := time.NewTimer(leaderCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(c.ReadEndpoints(ctx, &lister))
	}
}

// EndpointPublisher remembers what has been read and published of the endpoints in the owner's epoch, so that an unchanged list
// isn't spread again.
type EndpointPublisher struct {
	stamp  view.Stamp
	last   []model.Endpoint
	reader listReader
	merged platformlist.Merger
	term   uint64 // in which known was read
}

// ReadEndpoints reads the platform's list once, if this member owns the group, and tells when the next read is due.
func (c *Controller) ReadEndpoints(ctx context.Context, publisher *EndpointPublisher) time.Duration {
	status := c.group.Status()
	if !status.IsLeader {
		return leaderCheckInterval
	}
	endpoints, err := c.readCompleteList(ctx, publisher, status.Term)
	if err != nil {
		level.Warn(c.options.Logger).Log("msg", "list of endpoints cannot be read", "err", err)
		return listReadInterval
	}
	if now := c.group.Status(); !now.IsLeader || now.Term != status.Term {
		return leaderCheckInterval
	}
	c.recordVersions(ctx, endpoints)
	c.publishEndpoints(publisher, endpoints, status.Term)
	return listReadInterval
}

// readCompleteList reads the list and returns all endpoints that are there. What was known in an earlier epoch isn't taken over: it
// may be as old as that epoch, and would bring back endpoints that have gone since.
func (c *Controller) readCompleteList(ctx context.Context, publisher *EndpointPublisher, epoch uint64) ([]model.Endpoint, error) {
	reads := 1
	if publisher.term != epoch {
		publisher.merged, reads = platformlist.Merger{}, initialReads
	}
	for range reads {
		found, err := c.readList(ctx, &publisher.reader)
		if err != nil {
			return nil, err
		}
		publisher.merged.Merge(found)
	}
	publisher.term = epoch
	return publisher.merged.Endpoints(), nil
}

func (c *Controller) publishEndpoints(publisher *EndpointPublisher, endpoints []model.Endpoint, epoch uint64) {
	piece, changed, err := publisher.update(endpoints, epoch)
	if err != nil {
		level.Error(c.options.Logger).Log("msg", "list of endpoints cannot be published", "err", err)
		return
	}
	if changed {
		c.options.Fleet.Publish(piece)
	}
}

// update is the piece that a list makes, if it says anything new in the owner's epoch.
func (p *EndpointPublisher) update(endpoints []model.Endpoint, epoch uint64) (piece view.Update, changed bool, err error) {
	if p.stamp.Term == epoch && sameEndpoints(p.last, endpoints) {
		return view.Update{}, false, nil
	}
	body, err := json.Marshal(view.EndpointList{Endpoints: endpoints})
	if err != nil {
		return view.Update{}, false, err
	}
	if p.stamp.Term != epoch {
		p.stamp = view.Stamp{Term: epoch}
	}
	p.stamp.Sequence++
	p.last = endpoints
	return view.Update{Section: view.EndpointsSection, Stamp: p.stamp, Body: body}, true, nil
}

// sameEndpoints tells whether two lists say the same, apart from the time for which an endpoint is still cold: that runs down
// with each read.
func sameEndpoints(a, b []model.Endpoint) bool {
	return slices.EqualFunc(a, b, func(x, y model.Endpoint) bool {
		x.WarmUpLeftMs, y.WarmUpLeftMs = 0, 0
		return x == y
	})
}

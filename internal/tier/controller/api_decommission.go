package controller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/labstack/echo/v4"

	"mastusher/internal/tier/apierror"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/placement"
)

// decommissionRequest is the body of POST /mastusher/retire/NODE. It may be empty: draining begins at once, whatever the duration.
type decommissionRequest struct {
	OverS float64 `json:"overS"` // duration, s
}

// postDecommission proposes to drain a storage machine.
func (c *Controller) postDecommission(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	if err := readDecommissionRequest(e); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), proposeTimeout)
	defer cancel()
	// What this member knows of machines must not reject the order unless a majority still confirms it as the leader.
	if err := c.group.Read(ctx, func() {}); err != nil {
		return readError(err)
	}
	proposal, err := c.decommissionProposal(time.Now(), e.Param("node"))
	if err != nil {
		return err
	}
	result, err := c.group.Propose(ctx, Command{Decommission: proposal})
	if err != nil {
		return c.proposalError(err)
	}
	switch result {
	case decommission.Accepted:
		level.Info(c.options.Logger).Log("msg", "draining store", "node", proposal.Node, "id", proposal.ID)
		c.triggerReconcile()
		return e.NoContent(http.StatusOK)
	case decommission.TooFewStores:
		return c.tooFewStoresError(time.Now(), proposal)
	}
	return apierror.New(apierror.Internal, "the order has no outcome")
}

// readDecommissionRequest validates the body. Its duration isn't used.
func readDecommissionRequest(e echo.Context) error {
	var body decommissionRequest
	err := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, maxRequestBytes)).Decode(&body)
	switch {
	case errors.Is(err, io.EOF): // empty
		return nil
	case err != nil:
		return bodyError(err)
	case !(body.OverS >= 0 && body.OverS <= maxOverS):
		return apierror.New(apierror.BadRequest, "overS: not a time between 0 and %g s", maxOverS)
	}
	return nil
}

// decommissionProposal returns the proposal to drain a machine as it is known now.
func (c *Controller) decommissionProposal(now time.Time, node string) (*decommission.Proposal, error) {
	c.reconcilerMutex.Lock()
	defer c.reconcilerMutex.Unlock()
	tracker := c.reconciler.Tracker()
	store, known := tracker.Store(node)
	if !known {
		store, known = c.newlyJoinedStore(node)
	}
	if !known {
		store, known = c.absentStore(node)
	}
	if !known && !c.hasCompleteView(now) {
		return nil, apierror.New(apierror.NotReady, "not all machines have been heard of yet")
	}
	if !known {
		return nil, apierror.New(apierror.UnknownNode, "no storage machine is named %s", node)
	}
	proposal := &decommission.Proposal{Store: decommission.Store{Node: node, ID: store.ID}, MinRemaining: c.replicationFactor(),
		AtMs: c.options.Now().UnixMilli(), DedupExpiredIndex: c.dedupExpiredIndex()}
	for _, running := range tracker.Stores() {
		proposal.RunningStores = append(proposal.RunningStores, decommission.Store{Node: running.Node, ID: running.ID})
	}
	return proposal, nil
}

// hasCompleteView reports whether what this member knows of machines may reject an order for good. A leader that was partitioned
// before its election may not know some machines, or take them for dead. The caller must hold reconcilerMutex.
func (c *Controller) hasCompleteView(now time.Time) bool {
	return c.reconciler.Tracker().HasCompleteView(now, c.group.Status().Term)
}

// newlyJoinedStore finds a store that the tracker hasn't observed yet.
func (c *Controller) newlyJoinedStore(node string) (placement.Store, bool) {
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Store && placement.NodeOf(m.Name) == node {
			return placement.Store{ID: m.ID, Node: node, Address: m.Address, Zone: m.Zone}, true
		}
	}
	return placement.Store{}, false
}

// absentStore finds a store that membership has forgotten, by its replicas or by an earlier operation.
func (c *Controller) absentStore(node string) (placement.Store, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, shard := range c.state.placement {
		for _, r := range shard.Replicas {
			if r.Node == node {
				return r, true
			}
		}
	}
	_, exists := c.state.decommissions.Operation(node)
	return placement.Store{Node: node}, exists
}

// tooFewStoresError is the error for a proposal that would leave too few stores. It isn't final as long as enough would remain
// with the stores that are down but may soon be back, or the view isn't complete.
func (c *Controller) tooFewStoresError(now time.Time, proposal *decommission.Proposal) error {
	c.reconcilerMutex.Lock()
	defer c.reconcilerMutex.Unlock()
	missing := c.reconciler.Tracker().Missing(now)
	c.mutex.Lock()
	withMissing := *proposal
	for _, store := range missing {
		withMissing.RunningStores = append(withMissing.RunningStores, decommission.Store{Node: store.Node, ID: store.ID})
	}
	final := c.state.decommissions.Remaining(withMissing) < proposal.MinRemaining
	c.mutex.Unlock()
	if !c.hasCompleteView(now) || !final {
		return apierror.New(apierror.NotReady, "too few storage machines run now")
	}
	return apierror.New(apierror.TooFewStores, "fewer than %d storage machines would remain without %s", proposal.MinRemaining, proposal.Node)
}

// decommissionStatus is the body of the response to GET /mastusher/retire/NODE.
type decommissionStatus struct {
	State decommission.State `json:"state"`
}

// getDecommission returns the status of a machine's newest decommissioning.
func (c *Controller) getDecommission(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readTimeout)
	defer cancel()
	node := e.Param("node")
	var operation decommission.Operation
	var exists bool
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		operation, exists = c.state.decommissions.Operation(node)
	})
	if err != nil {
		return readError(err)
	}
	if !exists {
		return apierror.New(apierror.UnknownNode, "%s has not been asked to be emptied", node)
	}
	return e.JSON(http.StatusOK, decommissionStatus{State: operation.State})
}

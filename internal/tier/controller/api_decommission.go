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
	// A deposed leader must not reject the request based on an outdated list of machines, so a majority confirms its leadership first.
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
	return apierror.New(apierror.Internal, "the committed proposal has no known result")
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
		return apierror.New(apierror.BadRequest, "overS: must be from 0 to %g s", maxOverS)
	}
	return nil
}

// decommissionProposal returns the proposal to drain a machine, with the stores that are running now.
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
		return nil, apierror.New(apierror.NotReady, "the list of storage machines may still be incomplete")
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

// hasCompleteView reports whether this member's list of machines is complete enough to reject a request permanently. A leader that
// was partitioned before its election may lack some machines, or consider them dead. The caller must hold reconcilerMutex.
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

// absentStore finds a store that membership no longer lists, by its replicas or by an earlier operation.
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

// tooFewStoresError returns the error for a proposal that would leave too few stores. The error is retryable while enough stores
// would remain if those that went down recently returned, or while the view isn't complete.
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
		return apierror.New(apierror.NotReady, "too few storage machines are running now")
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
		return apierror.New(apierror.UnknownNode, "no decommissioning of %s has been requested", node)
	}
	return e.JSON(http.StatusOK, decommissionStatus{State: operation.State})
}

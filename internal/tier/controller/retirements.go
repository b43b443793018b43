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

// maxRequestBytes bounds the body of an order that isn't a configuration.
const maxRequestBytes = 64 << 10

// decommissionRequest is the body of an order. The time in which the machine is to be emptied needn't be told: that begins at once.
type decommissionRequest struct {
	OverS float64 `json:"overS"` // s
}

// postDecommission takes an order to empty a storage machine.
func (c *Controller) postDecommission(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	if err := readDecommissionRequest(e); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), proposeTimeout)
	defer cancel()
	// What is known of machines may refuse the order only while a majority still takes this member for the owner.
	if err := c.group.Read(ctx, func() {}); err != nil {
		return readError(err)
	}
	order, err := c.decommissionProposal(time.Now(), e.Param("node"))
	if err != nil {
		return err
	}
	result, err := c.group.Propose(ctx, Command{Decommission: order})
	if err != nil {
		return c.proposalError(err)
	}
	switch result {
	case decommission.Accepted:
		level.Info(c.options.Logger).Log("msg", "machine is to be emptied", "machine", order.Node, "id", order.ID)
		c.triggerReconcile()
		return e.NoContent(http.StatusOK)
	case decommission.TooFewStores:
		return c.tooFewStoresError(time.Now(), order)
	}
	return apierror.New(apierror.Internal, "the order has no outcome")
}

func readDecommissionRequest(e echo.Context) error {
	var body decommissionRequest
	err := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, maxRequestBytes)).Decode(&body)
	switch {
	case errors.Is(err, io.EOF): // an empty body tells no time
		return nil
	case err != nil:
		return bodyError(err)
	case !(body.OverS >= 0 && body.OverS <= maxOverS):
		return apierror.New(apierror.BadRequest, "overS: not a time between 0 and %g s", maxOverS)
	}
	return nil
}

// decommissionProposal is the order to empty a machine as it is known now.
func (c *Controller) decommissionProposal(now time.Time, node string) (*decommission.Proposal, error) {
	c.reconcilerMutex.Lock()
	defer c.reconcilerMutex.Unlock()
	watch := c.reconciler.Tracker()
	store, known := watch.Store(node)
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
	order := &decommission.Proposal{Store: decommission.Store{Node: node, ID: store.ID}, MinRemaining: c.replicationFactor(),
		AtMs: c.options.Now().UnixMilli(), DedupExpiredIndex: c.dedupExpiredIndex()}
	for _, running := range watch.Stores() {
		order.RunningStores = append(order.RunningStores, decommission.Store{Node: running.Node, ID: running.ID})
	}
	return order, nil
}

// hasCompleteView tells whether what this member knows of machines may refuse an order for good. An owner that was cut off before its
// electionTimeout may lack some machines, or take them for dead. The caller holds reconcilerMutex.
func (c *Controller) hasCompleteView(now time.Time) bool {
	return c.reconciler.Tracker().HasCompleteView(now, c.group.Status().Term)
}

// newlyJoinedStore finds a machine that the planner hasn't looked at yet.
func (c *Controller) newlyJoinedStore(node string) (placement.Store, bool) {
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Store && placement.NodeOf(m.Name) == node {
			return placement.Store{ID: m.ID, Node: node, Address: m.Address, Zone: m.Zone}, true
		}
	}
	return placement.Store{}, false
}

// absentStore finds a machine of which membership knows nothing any more: by its replicas, or by an earlier order.
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
	_, asked := c.state.decommissions.Operation(node)
	return placement.Store{Node: node}, asked
}

// tooFewStoresError tells why an order was not taken: machines that are down may soon be back, then it isn't final.
func (c *Controller) tooFewStoresError(now time.Time, order *decommission.Proposal) error {
	c.reconcilerMutex.Lock()
	defer c.reconcilerMutex.Unlock()
	watch := c.reconciler.Tracker()
	missing := watch.Missing(now)
	c.mutex.Lock()
	hopeful := *order
	for _, store := range missing {
		hopeful.RunningStores = append(hopeful.RunningStores, decommission.Store{Node: store.Node, ID: store.ID})
	}
	final := c.state.decommissions.Remaining(hopeful) < order.MinRemaining
	c.mutex.Unlock()
	if !c.hasCompleteView(now) || !final {
		return apierror.New(apierror.NotReady, "too few storage machines run now")
	}
	return apierror.New(apierror.TooFewStores, "fewer than %d storage machines would remain without %s", order.MinRemaining, order.Node)
}

// decommissionStatus is the answer to the question how far an order is.
type decommissionStatus struct {
	State decommission.State `json:"state"`
}

// getDecommission tells how far the newest order about a machine is.
func (c *Controller) getDecommission(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readTimeout)
	defer cancel()
	node := e.Param("node")
	var retirement decommission.Operation
	var asked bool
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		retirement, asked = c.state.decommissions.Operation(node)
	})
	if err != nil {
		return readError(err)
	}
	if !asked {
		return apierror.New(apierror.UnknownNode, "%s has not been asked to be emptied", node)
	}
	return e.JSON(http.StatusOK, decommissionStatus{State: retirement.State})
}

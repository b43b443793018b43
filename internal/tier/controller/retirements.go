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

// mostSmallOrderBytes bounds the body of an order that isn't a configuration.
const mostSmallOrderBytes = 64 << 10

// retireOrder is the body of an order. The time in which the machine is to be emptied needn't be told: that begins at once.
type retireOrder struct {
	OverS float64 `json:"overS"` // s
}

// postRetirement takes an order to empty a storage machine.
func (c *Controller) postRetirement(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	if err := readRetireOrder(e); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), agreeTimeout)
	defer cancel()
	// What is known of machines may refuse the order only while a majority still takes this member for the owner.
	if err := c.group.Read(ctx, func() {}); err != nil {
		return unread(err)
	}
	order, err := c.retireOrderOf(time.Now(), e.Param("node"))
	if err != nil {
		return err
	}
	result, err := c.group.Propose(ctx, Command{Retire: order})
	if err != nil {
		return c.unagreed(err)
	}
	switch result {
	case decommission.Taken:
		level.Info(c.options.Logger).Log("msg", "machine is to be emptied", "machine", order.Node, "id", order.ID)
		c.hurryPlace()
		return e.NoContent(http.StatusOK)
	case decommission.TooFew:
		return c.refuseRetirement(time.Now(), order)
	}
	return apierror.New(apierror.Internal, "the order has no outcome")
}

func readRetireOrder(e echo.Context) error {
	var body retireOrder
	err := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, mostSmallOrderBytes)).Decode(&body)
	switch {
	case errors.Is(err, io.EOF): // an empty body tells no time
		return nil
	case err != nil:
		return unreadable(err)
	case !(body.OverS >= 0 && body.OverS <= mostOverS):
		return apierror.New(apierror.BadRequest, "overS: not a time between 0 and %g s", mostOverS)
	}
	return nil
}

// retireOrderOf is the order to empty a machine as it is known now.
func (c *Controller) retireOrderOf(now time.Time, node string) (*decommission.Order, error) {
	c.planMutex.Lock()
	defer c.planMutex.Unlock()
	watch := c.planner.Watch()
	store, known := watch.Store(node)
	if !known {
		store, known = c.justJoined(node)
	}
	if !known {
		store, known = c.placedOrAsked(node)
	}
	if !known && !c.isSure(now) {
		return nil, apierror.New(apierror.NotReady, "not all machines have been heard of yet")
	}
	if !known {
		return nil, apierror.New(apierror.UnknownNode, "no storage machine is named %s", node)
	}
	order := &decommission.Order{Machine: decommission.Machine{Node: node, ID: store.ID}, Least: c.copies(),
		AtMs: c.options.Now().UnixMilli(), Settled: c.settled()}
	for _, running := range watch.Stores() {
		order.Running = append(order.Running, decommission.Machine{Node: running.Node, ID: running.ID})
	}
	return order, nil
}

// isSure tells whether what this member knows of machines may refuse an order for good. An owner that was cut off before its
// election may lack some machines, or take them for dead. The caller holds planMutex.
func (c *Controller) isSure(now time.Time) bool {
	return c.planner.Watch().IsSure(now, c.group.Status().Term)
}

// justJoined finds a machine that the planner hasn't looked at yet.
func (c *Controller) justJoined(node string) (placement.Store, bool) {
	for _, m := range c.options.Fleet.Members() {
		if m.Role == membership.Store && placement.NodeOf(m.Name) == node {
			return placement.Store{ID: m.ID, Node: node, Address: m.Address, Zone: m.Zone}, true
		}
	}
	return placement.Store{}, false
}

// placedOrAsked finds a machine of which membership knows nothing any more: by its replicas, or by an earlier order.
func (c *Controller) placedOrAsked(node string) (placement.Store, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, shard := range c.agree.placement {
		for _, r := range shard.Replicas {
			if r.Node == node {
				return r, true
			}
		}
	}
	_, asked := c.agree.retirements.Retirement(node)
	return placement.Store{Node: node}, asked
}

// refuseRetirement tells why an order was not taken: machines that are down may soon be back, then it isn't final.
func (c *Controller) refuseRetirement(now time.Time, order *decommission.Order) error {
	c.planMutex.Lock()
	defer c.planMutex.Unlock()
	watch := c.planner.Watch()
	missing := watch.Missing(now)
	c.mutex.Lock()
	hopeful := *order
	for _, store := range missing {
		hopeful.Running = append(hopeful.Running, decommission.Machine{Node: store.Node, ID: store.ID})
	}
	final := c.agree.retirements.Remaining(hopeful) < order.Least
	c.mutex.Unlock()
	if !c.isSure(now) || !final {
		return apierror.New(apierror.NotReady, "too few storage machines run now")
	}
	return apierror.New(apierror.TooFewStores, "fewer than %d storage machines would remain without %s", order.Least, order.Node)
}

// retirementState is the answer to the question how far an order is.
type retirementState struct {
	State decommission.State `json:"state"`
}

// getRetirement tells how far the newest order about a machine is.
func (c *Controller) getRetirement(e echo.Context) error {
	if redirected, err := c.redirect(e); redirected {
		return err
	}
	ctx, cancel := context.WithTimeout(e.Request().Context(), readBackTimeout)
	defer cancel()
	node := e.Param("node")
	var retirement decommission.Retirement
	var asked bool
	err := c.group.Read(ctx, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		retirement, asked = c.agree.retirements.Retirement(node)
	})
	if err != nil {
		return unread(err)
	}
	if !asked {
		return apierror.New(apierror.UnknownNode, "%s has not been asked to be emptied", node)
	}
	return e.JSON(http.StatusOK, retirementState{State: retirement.State})
}

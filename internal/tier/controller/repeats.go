package controller

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/dedup"
	"mastusher/internal/tier/settings"
)

// repeatWindow is how long after it was taken an order that isn't a configuration may come again. The operator repeats it for
// as long as it waits for an acknowledgement; what it has sent then may be on its way for longer where machines are slow.
func repeatWindow(bounds settings.Bounds) time.Duration {
	return bounds.ConfirmWithin() + bounds.Stretch()
}

// taken lists the orders that may come again, the oldest first.
func (s *Machine) taken() []dedup.AcceptedOrder {
	var taken []dedup.AcceptedOrder
	for _, order := range s.rollouts.Recent() {
		taken = append(taken, dedup.AcceptedOrder{Index: order.Index, AtMs: order.AtMs})
	}
	for _, order := range s.retirements.All() {
		taken = append(taken, dedup.AcceptedOrder{Index: order.Index, AtMs: order.AtMs})
	}
	slices.SortFunc(taken, func(a, b dedup.AcceptedOrder) int { return cmp.Compare(a.Index, b.Index) })
	return taken
}

// noteOrders notes when this process has come to know of orders. The caller holds the mutex.
func (c *Controller) noteOrders() { c.repeats.Observe(c.options.Clock(), c.agree.taken()) }

// settled is the index up to which nobody repeats orders any more. An order carries it into the log, so that all members
// judge alike whether it is a repeat.
func (c *Controller) settled() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.repeats.ExpiredUpTo(c.options.Clock(), c.options.Now(), c.agree.taken())
}

package controller

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/dedup"
	"mastusher/internal/tier/settings"
)

// dedupWindowLength is how long after it was taken an order that isn't a configuration may come again. The operator repeats it for
// as long as it waits for an acknowledgement; what it has sent then may be on its way for longer where machines are slow.
func dedupWindowLength(bounds settings.Bounds) time.Duration {
	return bounds.ConfirmWithin() + bounds.Stretch()
}

// dedupEntries lists the orders that may come again, the oldest first.
func (s *StateMachine) dedupEntries() []dedup.AcceptedOrder {
	var taken []dedup.AcceptedOrder
	for _, order := range s.rollouts.RecentProposals() {
		taken = append(taken, dedup.AcceptedOrder{Index: order.Index, AcceptedAtMs: order.AtMs})
	}
	for _, order := range s.decommissions.Operations() {
		taken = append(taken, dedup.AcceptedOrder{Index: order.Index, AcceptedAtMs: order.AtMs})
	}
	slices.SortFunc(taken, func(a, b dedup.AcceptedOrder) int { return cmp.Compare(a.Index, b.Index) })
	return taken
}

// updateDedupWindow notes when this process has come to know of orders. The caller holds the mutex.
func (c *Controller) updateDedupWindow() {
	c.dedupWindow.Observe(c.options.Clock(), c.state.dedupEntries())
}

// dedupExpiredIndex is the index up to which nobody repeats orders any more. An order carries it into the log, so that all members
// judge alike whether it is a repeat.
func (c *Controller) dedupExpiredIndex() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dedupWindow.ExpiredUpTo(c.options.Clock(), c.options.Now(), c.state.dedupEntries())
}

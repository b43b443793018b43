package controller

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/dedup"
	"mastusher/internal/tier/settings"
)

// dedupWindowLength returns how long after its acceptance a duplicate of a roll-out or decommission order may arrive. An operator
// repeats an order while it waits for the acknowledgement; a copy may be in flight for longer where machines are slow.
func dedupWindowLength(bounds settings.Bounds) time.Duration {
	return bounds.ConfirmWithin() + bounds.UnstableExtension()
}

// dedupEntries lists the accepted orders of which duplicates may arrive, by log index.
func (s *StateMachine) dedupEntries() []dedup.AcceptedOrder {
	var accepted []dedup.AcceptedOrder
	for _, proposal := range s.rollouts.RecentProposals() {
		accepted = append(accepted, dedup.AcceptedOrder{Index: proposal.Index, AcceptedAtMs: proposal.ProposedAtMs})
	}
	for _, operation := range s.decommissions.Operations() {
		accepted = append(accepted, dedup.AcceptedOrder{Index: operation.Index, AcceptedAtMs: operation.AtMs})
	}
	slices.SortFunc(accepted, func(a, b dedup.AcceptedOrder) int { return cmp.Compare(a.Index, b.Index) })
	return accepted
}

// updateDedupWindow records when this process first saw each accepted order. The caller must hold mutex.
func (c *Controller) updateDedupWindow() {
	c.dedupWindow.Observe(c.options.Clock(), c.state.dedupEntries())
}

// dedupExpiredIndex returns the log index up to which no duplicates of accepted orders arrive any more. A proposal carries it into
// the log, so that all replicas decide alike whether the proposal is a duplicate.
func (c *Controller) dedupExpiredIndex() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.dedupWindow.ExpiredUpTo(c.options.Clock(), c.options.Now(), c.state.dedupEntries())
}

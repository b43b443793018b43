package simulation

import (
	"fmt"
	"slices"
	"time"

	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// demandInterval is the time between two updates of a relay's demands.
const demandInterval = 200 * time.Millisecond

// sendDemands updates a relay's demands every demandInterval, until the relay ends.
func (w *World) sendDemands(r *Relay, incarnation *node.Node) {
	if r.Node != incarnation || incarnation == nil {
		return
	}
	if !r.Stopped && w.Demands != nil {
		all := w.Demands(w, r)
		w.notify(r, node.Event{Demands: &all})
	}
	w.After(demandInterval, func() { w.sendDemands(r, incarnation) })
}

// SpendableShare returns the share of a key that a relay may spend now, by its own clock and the quota lease of its core.
func (w *World) SpendableShare(r *Relay, k quota.Key) float64 {
	now := r.clock(w.Now())
	if r.Node == nil || r.Stopped || r.Mandate.Until <= now {
		return 0
	}
	share := r.Lease.Minimum
	if r.Lease.Expires <= now && !r.Lease.MinimumLasts {
		share = 0
	}
	if i := slices.IndexFunc(r.Lease.Shares, func(p quota.KeyShare) bool { return p.Key == k }); i >= 0 && r.Lease.Expires > now {
		share += r.Lease.Shares[i].Extra
	}
	return share
}

// checkSpending reports a violation if, after a change of the lease of r, all relays together may spend more than the limit.
func (w *World) checkSpending(r *Relay) {
	keys := []quota.Key{0} // a key without shares: only the guaranteed minimums
	for i := range r.Lease.Shares {
		keys = append(keys, r.Lease.Shares[i].Key)
	}
	for _, k := range keys {
		sum, text := 0.0, ""
		for _, o := range w.Relays {
			if p := w.SpendableShare(o, k); p > 0 {
				sum += p
				text += fmt.Sprintf(" %s %.4f", o.Name, p)
			}
		}
		if sum > 1+1e-9 {
			w.reportViolation(r, fmt.Sprintf("%.4f of key %x may be spent:%s", sum, k, text))
		}
	}
}

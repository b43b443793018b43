package simulation

import (
	"fmt"
	"slices"
	"time"

	"mastusher/internal/relay/fleet/node"
	"mastusher/internal/relay/fleet/quota"
)

// needsEvery is how often a relay's core says what it needs.
const needsEvery = 200 * time.Millisecond

// needs has a relay's core say what it needs, again and again.
func (w *World) needs(r *Relay, life *node.Node) {
	if r.Node != life || life == nil {
		return
	}
	if !r.Slow && w.Needs != nil {
		all := w.Needs(w, r)
		w.tell(r, node.Event{Demands: &all})
	}
	w.After(needsEvery, func() { w.needs(r, life) })
}

// May is the part of a key that a relay may spend now, by its own clock and as its core goes by it.
func (w *World) May(r *Relay, k quota.Key) float64 {
	now := r.clock(w.Now)
	if r.Node == nil || r.Slow || r.Stand.Until <= now {
		return 0
	}
	part := r.Spend.Minimum
	if r.Spend.Expires <= now && !r.Spend.MinimumLasts {
		part = 0
	}
	if i := slices.IndexFunc(r.Spend.Shares, func(p quota.KeyShare) bool { return p.Key == k }); i >= 0 && r.Spend.Expires > now {
		part += r.Spend.Shares[i].Extra
	}
	return part
}

// spent looks whether all together may spend more than there is, after a relay's part has changed.
func (w *World) spent(r *Relay) {
	keys := []quota.Key{0} // the floors alone
	for i := range r.Spend.Shares {
		keys = append(keys, r.Spend.Shares[i].Key)
	}
	for _, k := range keys {
		sum, text := 0.0, ""
		for _, o := range w.Relays {
			if p := w.May(o, k); p > 0 {
				sum += p
				text += fmt.Sprintf(" %s %.4f", o.Name, p)
			}
		}
		if sum > 1+1e-9 {
			w.broke(r, fmt.Sprintf("%.4f of key %x may be spent:%s", sum, k, text))
		}
	}
}

package membership

import "slices"

// deadProbeIntervals is how many probe intervals pass between two pings of members that are taken for dead. They let the parts
// of a healed network find one another.
const deadProbeIntervals = 5

// removeTombstone takes a member out of those that are gone.
func (p *prober) removeTombstone(back *entry) {
	p.tombstones = slices.DeleteFunc(p.tombstones, func(e *entry) bool { return e == back })
}

// raiseTombstone keeps a member that is gone from coming back by news older than these.
func (n *Node) raiseTombstone(known *entry, update Update) {
	if known.Incarnation == update.Incarnation && known.State == update.State {
		return
	}
	member := known.Member
	member.Incarnation = update.Incarnation
	member.State = update.State
	since := known.stateChange
	n.table.replace(known, member, since)
}

// probeDead pings one member that is taken for dead, now and then, and tells it so.
func (n *Node) probeDead() {
	if n.now < n.prober.nextDeadProbe || len(n.prober.tombstones) == 0 {
		return
	}
	n.prober.nextDeadProbe = n.now + n.jittered(deadProbeIntervals*n.options.ProbeInterval)
	called := n.prober.tombstones[n.random.IntN(len(n.prober.tombstones))]
	if called.State == StateDead {
		n.verifyNode(called, called.Incarnation)
	}
}

// reapTombstones removes those that have been gone for long.
func (n *Node) reapTombstones() {
	n.prober.tombstones = slices.DeleteFunc(n.prober.tombstones, func(e *entry) bool {
		if n.now-e.stateChange < n.options.TombstoneTimeout {
			return false
		}
		n.table.remove(e.Name)
		return true
	})
}

package membership

import "slices"

// deadProbeIntervals is how many probe intervals pass between two pings of dead members. They let the partitions of a healed
// network find each other.
const deadProbeIntervals = 5

// removeTombstone drops the tombstone of a member that is alive again.
func (p *prober) removeTombstone(revived *entry) {
	p.tombstones = slices.DeleteFunc(p.tombstones, func(e *entry) bool { return e == revived })
}

// raiseTombstone takes over a newer incarnation or state of a member with a tombstone, so that older updates cannot revive
// it. The time at which it is reaped stays.
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

// probeDead pings a random dead member now and then, with the update that it is dead, which it refutes if it runs.
func (n *Node) probeDead() {
	if n.now < n.prober.nextDeadProbe || len(n.prober.tombstones) == 0 {
		return
	}
	n.prober.nextDeadProbe = n.now + n.jittered(deadProbeIntervals*n.options.ProbeInterval)
	target := n.prober.tombstones[n.random.IntN(len(n.prober.tombstones))]
	if target.State == StateDead {
		n.verifyNode(target, target.Incarnation)
	}
}

// reapTombstones forgets the members that have been dead or have left for TombstoneTimeout.
func (n *Node) reapTombstones() {
	n.prober.tombstones = slices.DeleteFunc(n.prober.tombstones, func(e *entry) bool {
		if n.now-e.stateChange < n.options.TombstoneTimeout {
			return false
		}
		n.table.remove(e.Name)
		return true
	})
}

package membership

import "slices"

// deadProbeIntervals is the number of probe intervals between pings of dead members, by which partitions merge after the network
// has healed.
const deadProbeIntervals = 5

// removeTombstone removes the tombstone of a member that is alive again.
func (p *prober) removeTombstone(revived *entry) {
	p.tombstones = slices.DeleteFunc(p.tombstones, func(e *entry) bool { return e == revived })
}

// updateTombstone applies a newer incarnation or state to a tombstone, so that older updates cannot revive the member. The time at
// which the tombstone is reaped stays the same.
func (n *Node) updateTombstone(known *entry, update Update) {
	if known.Incarnation == update.Incarnation && known.State == update.State {
		return
	}
	member := known.Member
	member.Incarnation = update.Incarnation
	member.State = update.State
	since := known.stateChange
	n.table.replace(known, member, since)
}

// probeDead periodically pings a random dead member with an update that declares it dead, which it refutes if it is running.
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

// reapTombstones removes the members that have been dead or left for TombstoneTimeout.
func (n *Node) reapTombstones() {
	n.prober.tombstones = slices.DeleteFunc(n.prober.tombstones, func(e *entry) bool {
		if n.now-e.stateChange < n.options.TombstoneTimeout {
			return false
		}
		n.table.remove(e.Name)
		return true
	})
}

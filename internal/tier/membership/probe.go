package membership

import (
	"slices"
	"time"
)

// probeTimeouts is how many ProbeTimeouts a probe lasts: for the ping, for the pings of the helpers, and for their answers.
const probeTimeouts = 3

// maxVerifications bounds the pings of one Step to members on whose state nodes disagree.
const maxVerifications = 8

// prober is the state of the failure detector.
type prober struct {
	nextProbe     time.Duration // when the next member is probed
	rotation      []string      // names in random order; each is probed once per round (SWIM section 4.3)
	position      int           // in rotation, of the next target
	pending       []probe
	sequence      uint64 // of the last ping
	verifications int    // in this Step

	tombstones    []*entry // those that are dead or have left and are not reaped yet
	nextDeadProbe time.Duration
}

// probe is a ping that must be answered.
type probe struct {
	sequence      uint64
	target        *entry
	indirectAt    time.Duration // when helpers are asked; never: they were, or will not be
	deadline      time.Duration
	nacks         []string // names of helpers that got no answer either
	expectedNacks int      // helpers asked
}

// probe starts the probes of one interval when it is due.
func (n *Node) probe() {
	if n.now < n.prober.nextProbe {
		return
	}
	n.prober.nextProbe = n.now + n.jittered(n.awareness.scaleTimeout(n.options.ProbeInterval))
	if target := n.nextTarget(); target != nil {
		n.probeNode(target)
	}
	n.probeReplicas()
	n.probeDead()
	n.reapTombstones()
}

// probeNode pings a member. If it does not answer it is probed indirectly, and then suspected.
func (n *Node) probeNode(target *entry) {
	started := probe{
		sequence:   n.nextSequence(),
		target:     target,
		indirectAt: n.now + n.awareness.scaleTimeout(n.options.ProbeTimeout),
		deadline:   n.now + n.awareness.scaleTimeout(probeTimeouts*n.options.ProbeTimeout),
	}
	n.prober.pending = append(n.prober.pending, started)
	n.send(target.Address, Message{Kind: MsgPing, To: target.Name, Sequence: started.sequence})
}

// verifyNode pings a member on whose state nodes disagree. The ping carries the update that it is dead in that incarnation,
// so that it can refute it. A member that has a tombstone here may stay silent; another one is suspected without indirect
// probes.
func (n *Node) verifyNode(target *entry, incarnation uint64) {
	if n.prober.verifications >= maxVerifications || n.isProbing(target) {
		return
	}
	n.prober.verifications++
	dead := Update{Member: Member{Name: target.Name, Incarnation: incarnation, State: StateDead}}
	ping := Message{Kind: MsgPing, To: target.Name, Updates: []Update{dead}}
	if !target.DeadOrLeft() {
		ping.Sequence = n.nextSequence()
		n.prober.pending = append(n.prober.pending, probe{
			sequence:   ping.Sequence,
			target:     target,
			indirectAt: never,
			deadline:   n.now + n.awareness.scaleTimeout(2*n.options.ProbeTimeout),
		})
	}
	n.send(target.Address, ping)
}

// isProbing reports whether a probe of that member is pending.
func (n *Node) isProbing(target *entry) bool {
	return slices.ContainsFunc(n.prober.pending, func(p probe) bool { return p.target == target })
}

// nextSequence returns a number that no earlier ping of this node has.
func (n *Node) nextSequence() uint64 {
	n.prober.sequence++
	return n.prober.sequence
}

// expireProbes starts the indirect probes that are due, and suspects members that nobody reached.
func (n *Node) expireProbes() {
	for i := 0; i < len(n.prober.pending); {
		pending := &n.prober.pending[i]
		if n.now >= pending.deadline {
			expired := *pending
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			n.probeFailed(expired)
			continue
		}
		if n.now >= pending.indirectAt {
			n.sendIndirectProbes(pending)
		}
		i++
	}
}

// probeFailed suspects the target. If no helper has sent even a nack, this node may be the one that is slow or partitioned.
func (n *Node) probeFailed(failed probe) {
	if failed.expectedNacks > 0 && len(failed.nacks) == 0 {
		n.awareness.applyDelta(1)
	}
	if failed.target.State == StateAlive {
		n.startSuspicion(failed.target, Update{From: n.self.Name})
		n.send(failed.target.Address, Message{Kind: MsgGossip, To: failed.target.Name}) // so that it may refute at once
	}
	changed := failed.target.suspicion.confirm(n.self.Name)
	for _, helper := range failed.nacks {
		changed = failed.target.suspicion.confirm(helper) || changed
	}
	if changed {
		n.broadcastSuspicion(failed.target, n.self.Name)
	}
}

// ackProbe ends the probe with that sequence if it was of the member named, and reports whether there was one.
func (n *Node) ackProbe(sequence uint64, name string) bool {
	for i, pending := range n.prober.pending {
		if pending.sequence == sequence && pending.target.Name == name {
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			return true
		}
	}
	return false
}

// cancelProbes drops all pending probes: none of their targets is suspected for it.
func (n *Node) cancelProbes() { n.prober.pending = n.prober.pending[:0] }

// cancelProbe drops the pending probes of a member.
func (n *Node) cancelProbe(name string) {
	n.prober.pending = slices.DeleteFunc(n.prober.pending, func(p probe) bool { return p.target.Name == name })
}

// nextProbeExpiry returns when expireProbes has something to do; never: no probe is pending.
func (n *Node) nextProbeExpiry() time.Duration {
	next := never
	for i := range n.prober.pending {
		next = min(next, n.prober.pending[i].indirectAt, n.prober.pending[i].deadline)
	}
	return next
}

package membership

import (
	"slices"
	"time"
)

// probeTimeouts is the duration of a probe in multiples of ProbeTimeout: one each for the direct ping, the helpers' pings and the
// helpers' answers.
const probeTimeouts = 3

// maxVerifications bounds the pings that verifyNode sends in one Step.
const maxVerifications = 8

// prober is the state of the failure detector.
type prober struct {
	nextProbe     time.Duration // when the next member is probed
	rotation      []string      // member names in random order; each is probed once per round (SWIM section 4.3)
	position      int           // index in rotation of the next target
	pending       []probe
	sequence      uint64 // of the last ping
	verifications int    // pings that verifyNode has sent in this Step

	tombstones    []*entry // dead or left members that are not reaped yet
	nextDeadProbe time.Duration
}

// probe is a pending ping; its target is suspected if no ack arrives before the deadline.
type probe struct {
	sequence      uint64
	target        *entry
	indirectAt    time.Duration // when to ask helpers; never if they were already asked or will not be asked
	deadline      time.Duration
	nacks         []string // names of the helpers that sent a nack
	expectedNacks int      // number of helpers asked
}

// probe starts the probes of an interval if they are due.
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

// probeNode pings a member. If the member does not answer, it is probed indirectly and then suspected.
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

// verifyNode pings a member on whose state nodes disagree. The ping carries an update that declares the member dead in the given
// incarnation, which a running member refutes. A live member that does not answer is suspected without indirect probes; one with
// a tombstone needs no answer.
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

// isProbing reports whether a probe of the member is pending.
func (n *Node) isProbing(target *entry) bool {
	return slices.ContainsFunc(n.prober.pending, func(p probe) bool { return p.target == target })
}

// nextSequence returns the sequence number of this node's next ping.
func (n *Node) nextSequence() uint64 {
	n.prober.sequence++
	return n.prober.sequence
}

// expireProbes starts the indirect probes that are due, and fails the probes whose deadline has passed.
func (n *Node) expireProbes() {
	for i := 0; i < len(n.prober.pending); {
		pending := &n.prober.pending[i]
		if n.now >= pending.deadline {
			expired := *pending
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			n.handleProbeFailure(expired)
			continue
		}
		if n.now >= pending.indirectAt {
			n.sendIndirectProbes(pending)
		}
		i++
	}
}

// handleProbeFailure suspects the target of a failed probe. If helpers were asked and none has sent a nack, this node itself may be
// slow or partitioned, which lowers its health.
func (n *Node) handleProbeFailure(failed probe) {
	if failed.expectedNacks > 0 && len(failed.nacks) == 0 {
		n.awareness.applyDelta(1)
	}
	if failed.target.State == StateAlive {
		n.startSuspicion(failed.target, Update{From: n.self.Name})
		n.send(failed.target.Address, Message{Kind: MsgGossip, To: failed.target.Name}) // lets the target refute the suspicion immediately
	}
	changed := failed.target.suspicion.confirm(n.self.Name)
	for _, helper := range failed.nacks {
		changed = failed.target.suspicion.confirm(helper) || changed
	}
	if changed {
		n.broadcastSuspicion(failed.target, n.self.Name)
	}
}

// ackProbe ends the probe of the named member with that sequence, and reports whether there was one.
func (n *Node) ackProbe(sequence uint64, name string) bool {
	for i, pending := range n.prober.pending {
		if pending.sequence == sequence && pending.target.Name == name {
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			return true
		}
	}
	return false
}

// cancelProbes drops all pending probes without suspecting their targets.
func (n *Node) cancelProbes() { n.prober.pending = n.prober.pending[:0] }

// cancelProbe drops the pending probes of a member.
func (n *Node) cancelProbe(name string) {
	n.prober.pending = slices.DeleteFunc(n.prober.pending, func(p probe) bool { return p.target.Name == name })
}

// nextProbeExpiry returns when expireProbes must run next, or never if no probe is pending.
func (n *Node) nextProbeExpiry() time.Duration {
	next := never
	for i := range n.prober.pending {
		next = min(next, n.prober.pending[i].indirectAt, n.prober.pending[i].deadline)
	}
	return next
}

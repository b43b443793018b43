package membership

import (
	"slices"
	"time"
)

// probeTimeouts is how many time-outs a probe takes: for the ping, for that of the helpers, and for their answers.
const probeTimeouts = 3

// maxVerifications bounds the pings of one Step to members about which nodes disagree.
const maxVerifications = 8

// prober holds the probes under way and whose turn it is.
type prober struct {
	nextProbe     time.Duration // when the next member is probed
	rotation      []string      // names in random order; each is probed once in a round
	position      int
	pending       []probe
	sequence      uint64
	verifications int // verifications in this Step

	tombstones    []*entry // those that are gone and not forgotten yet
	nextDeadProbe time.Duration
}

// probe is one ping that must be answered.
type probe struct {
	sequence      uint64
	target        *entry
	indirectAt    time.Duration // when helpers are asked; never: they were, or will not be
	deadline      time.Duration
	nacks         []string // helpers that found it silent too
	expectedNacks int
}

// probe pings the next member when it is time to.
func (n *Node) probe() {
	if n.now < n.prober.nextProbe {
		return
	}
	n.prober.nextProbe = n.now + n.jittered(n.scaleTimeout(n.options.ProbeInterval))
	if target := n.nextTarget(); target != nil {
		n.probeNode(target)
	}
	n.probeReplicas()
	n.probeDead()
	n.reapTombstones()
}

func (n *Node) probeNode(target *entry) {
	started := probe{
		sequence:   n.nextSequence(),
		target:     target,
		indirectAt: n.now + n.scaleTimeout(n.options.ProbeTimeout),
		deadline:   n.now + n.scaleTimeout(probeTimeouts*n.options.ProbeTimeout),
	}
	n.prober.pending = append(n.prober.pending, started)
	n.send(target.Address, Message{Kind: MsgPing, To: target.Name, Sequence: started.sequence})
}

// verifyNode asks a member about which nodes disagree. The ping tells it that some take it for dead in that incarnation, so
// that it can refute this.
func (n *Node) verifyNode(target *entry, incarnation uint64) {
	if n.prober.verifications >= maxVerifications || n.isProbing(target) {
		return
	}
	n.prober.verifications++
	accusation := Update{Member: Member{Name: target.Name, Incarnation: incarnation, State: StateDead}}
	ping := Message{Kind: MsgPing, To: target.Name, Updates: []Update{accusation}}
	if !target.DeadOrLeft() {
		ping.Sequence = n.nextSequence()
		n.prober.pending = append(n.prober.pending, probe{
			sequence:   ping.Sequence,
			target:     target,
			indirectAt: never,
			deadline:   n.now + n.scaleTimeout(2*n.options.ProbeTimeout),
		})
	}
	n.send(target.Address, ping)
}

func (n *Node) isProbing(target *entry) bool {
	return slices.ContainsFunc(n.prober.pending, func(p probe) bool { return p.target == target })
}

func (n *Node) nextSequence() uint64 {
	n.prober.sequence++
	return n.prober.sequence
}

// expireProbes asks helpers about members that have not answered yet, and suspects those that nobody reached.
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

// probeFailed suspects the target. When no helper has answered either, this node may be the one that is slow or cut off.
func (n *Node) probeFailed(failed probe) {
	if failed.expectedNacks > 0 && len(failed.nacks) == 0 {
		n.worsenHealth()
	}
	if failed.target.State == StateAlive {
		n.startSuspicion(failed.target, Update{From: n.self.Name})
		n.send(failed.target.Address, Message{Kind: MsgGossip, To: failed.target.Name}) // it may refute at once
	}
	news := failed.target.suspicion.confirm(n.self.Name)
	for _, helper := range failed.nacks {
		news = failed.target.suspicion.confirm(helper) || news
	}
	if news {
		n.broadcastSuspicion(failed.target, n.self.Name)
	}
}

// ackProbe ends the probe with that sequence when it was of the member named.
func (n *Node) ackProbe(sequence uint64, name string) bool {
	for i, pending := range n.prober.pending {
		if pending.sequence == sequence && pending.target.Name == name {
			n.prober.pending = slices.Delete(n.prober.pending, i, i+1)
			return true
		}
	}
	return false
}

func (n *Node) cancelProbes() { n.prober.pending = n.prober.pending[:0] }

func (n *Node) cancelProbe(name string) {
	n.prober.pending = slices.DeleteFunc(n.prober.pending, func(p probe) bool { return p.target.Name == name })
}

func (n *Node) nextProbeExpiry() time.Duration {
	next := never
	for i := range n.prober.pending {
		next = min(next, n.prober.pending[i].indirectAt, n.prober.pending[i].deadline)
	}
	return next
}

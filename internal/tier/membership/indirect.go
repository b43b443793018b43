package membership

import (
	"slices"
	"time"
)

// maxIndirectProbes bounds the pending probes that this node makes for other members; requests beyond it are dropped.
const maxIndirectProbes = 64

// indirectProbe is a probe that this node makes for another member, the requester (SWIM section 3.1).
type indirectProbe struct {
	sequence          uint64 // of this node's ping to the target
	target            string // name
	requester         string // name
	requesterAddress  string
	requesterSequence uint64        // of the ping request, returned with the ack or nack
	deadline          time.Duration // when a nack is sent to the requester
}

// sendIndirectProbes asks random helpers to probe a member that has not acknowledged the ping in time.
func (n *Node) sendIndirectProbes(pending *probe) {
	pending.indirectAt = never
	helpers := n.randomAlive(n.options.IndirectProbes, pending.target.Name)
	pending.expectedNacks = len(helpers)
	for _, helper := range helpers {
		n.send(helper.Address, Message{
			Kind:          MsgPingReq,
			To:            helper.Name,
			Sequence:      pending.sequence,
			Target:        pending.target.Name,
			TargetAddress: pending.target.Address,
		})
	}
}

// nackProbe records a nack (Lifeguard): the helper is reachable, but the target has not answered it either.
func (n *Node) nackProbe(sequence uint64, helper string) {
	for i := range n.prober.pending {
		if pending := &n.prober.pending[i]; pending.sequence == sequence {
			pending.nacks = append(pending.nacks, helper)
		}
	}
}

// handlePingReq starts an indirect probe at the request of another member.
func (n *Node) handlePingReq(address string, message *Message) {
	if message.TargetAddress == "" || len(n.indirect) >= maxIndirectProbes {
		return
	}
	sequence := n.nextSequence()
	n.indirect = append(n.indirect, indirectProbe{
		sequence:          sequence,
		target:            message.Target,
		requester:         message.From,
		requesterAddress:  address,
		requesterSequence: message.Sequence,
		deadline:          n.now + n.options.ProbeTimeout,
	})
	n.send(message.TargetAddress, Message{Kind: MsgPing, To: message.Target, Sequence: sequence})
}

// expireIndirectProbes drops the indirect probes whose target has not answered in time, and sends a nack to each requester.
func (n *Node) expireIndirectProbes() {
	n.indirect = slices.DeleteFunc(n.indirect, func(r indirectProbe) bool {
		if n.now < r.deadline {
			return false
		}
		n.send(r.requesterAddress, Message{Kind: MsgNack, To: r.requester, Sequence: r.requesterSequence, Target: r.target})
		return true
	})
}

// nextIndirectExpiry returns when the next nack is due, or never if no indirect probe is pending.
func (n *Node) nextIndirectExpiry() time.Duration {
	next := never
	for i := range n.indirect {
		next = min(next, n.indirect[i].deadline)
	}
	return next
}

package membership

import (
	"slices"
	"time"
)

// maxIndirectProbes bounds the probes that this node makes for others at one time; requests beyond it are dropped.
const maxIndirectProbes = 64

// indirectProbe is a probe that this node makes for another (SWIM section 3.1).
type indirectProbe struct {
	sequence          uint64 // of this node's ping to the target
	target            string // name
	requester         string // name
	requesterAddress  string
	requesterSequence uint64        // of the request, returned with the ack or nack
	deadline          time.Duration // when the requester gets a nack
}

// sendIndirectProbes asks random helpers to probe a member that has not answered in time.
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

// nackProbe records that a helper is reachable and got no answer from the target either (Lifeguard's nack).
func (n *Node) nackProbe(sequence uint64, helper string) {
	for i := range n.prober.pending {
		if pending := &n.prober.pending[i]; pending.sequence == sequence {
			pending.nacks = append(pending.nacks, helper)
		}
	}
}

// handlePingReq probes a member for another one.
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

// expireIndirectProbes sends a nack to each requester whose target has not answered in time.
func (n *Node) expireIndirectProbes() {
	n.indirect = slices.DeleteFunc(n.indirect, func(r indirectProbe) bool {
		if n.now < r.deadline {
			return false
		}
		n.send(r.requesterAddress, Message{Kind: MsgNack, To: r.requester, Sequence: r.requesterSequence, Target: r.target})
		return true
	})
}

// nextIndirectExpiry returns when the next nack is due; never: no probe for another member is pending.
func (n *Node) nextIndirectExpiry() time.Duration {
	next := never
	for i := range n.indirect {
		next = min(next, n.indirect[i].deadline)
	}
	return next
}

package membership

import "slices"

// handleMessage takes in one message.
func (n *Node) handleMessage(address string, message *Message) {
	if message.From == "" || message.From == n.self.Name {
		return
	}
	for _, update := range message.Updates {
		n.applyUpdate(update)
	}
	if message.To != "" && message.To != n.self.Name {
		return // for a process that had this address before
	}
	n.checkSender(address, message)
	n.deliverPayload(address, message)
	switch message.Kind {
	case MsgPing:
		n.sendAck(address, message)
	case MsgAck:
		n.handleAck(message)
	case MsgPingReq:
		n.handlePingReq(address, message)
	case MsgIndirectAck:
		n.ackProbe(message.Sequence, message.Target)
	case MsgNack:
		n.nackProbe(message.Sequence, message.From)
	}
}

// checkSender compares what both sides hold of each other.
func (n *Node) checkSender(address string, message *Message) {
	if n.self.State == StateLeft {
		return
	}
	known := n.table.entries[message.From]
	switch {
	case known == nil || message.Incarnation > known.Incarnation:
		n.schedulePushPull(address)
	case known.State == StateDead:
		n.verifyNode(known, known.Incarnation)
		n.schedulePushPull(address)
	case known.State != StateLeft:
		n.compareHash(address, message)
	}
}

func (n *Node) deliverPayload(address string, message *Message) {
	if len(message.Payload) > 0 {
		n.effects.Payloads = append(n.effects.Payloads, Payload{message.From, address, message.Payload})
	}
}

func (n *Node) handleAck(message *Message) {
	if n.ackProbe(message.Sequence, message.From) {
		n.improveHealth()
		return
	}
	for i, r := range n.indirect {
		if r.sequence == message.Sequence && r.target == message.From {
			n.indirect = slices.Delete(n.indirect, i, i+1)
			n.send(r.requesterAddress, Message{Kind: MsgIndirectAck, To: r.requester, Sequence: r.requesterSequence, Target: r.target})
			return
		}
	}
}

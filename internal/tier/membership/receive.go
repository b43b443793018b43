package membership

import "slices"

// handleMessage handles one datagram.
func (n *Node) handleMessage(address string, message *Message) {
	if message.From == "" || message.From == n.self.Name {
		return
	}
	for _, update := range message.Updates {
		n.applyUpdate(update)
	}
	if message.To != "" && message.To != n.self.Name {
		return // addressed to an earlier process with this address
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

// checkSender compares the sender's incarnation with its record and, if the record is current, the hashes of both tables.
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

// deliverPayload passes the payload of a message to the application.
func (n *Node) deliverPayload(address string, message *Message) {
	if len(message.Payload) > 0 {
		n.effects.Payloads = append(n.effects.Payloads, Payload{message.From, address, message.Payload})
	}
}

// handleAck ends the direct or indirect probe that the ack answers.
func (n *Node) handleAck(message *Message) {
	if n.ackProbe(message.Sequence, message.From) {
		n.awareness.applyDelta(-1)
		return
	}
	for i, probe := range n.indirect {
		if probe.sequence == message.Sequence && probe.target == message.From {
			n.indirect = slices.Delete(n.indirect, i, i+1)
			n.send(probe.requesterAddress, Message{
				Kind: MsgIndirectAck, To: probe.requester, Sequence: probe.requesterSequence, Target: probe.target,
			})
			return
		}
	}
}

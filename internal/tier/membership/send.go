package membership

// send completes a message with piggybacked updates and queues it for sending.
func (n *Node) send(address string, message Message) { n.sendMessage(address, message, false) }

// sendAck answers a ping. A sender with the same table knows the queued joins, deaths and leaves, so these are left out.
func (n *Node) sendAck(address string, ping *Message) {
	sameTable := ping.Hash == n.table.hash
	n.sendMessage(address, Message{Kind: MsgAck, To: ping.From, Sequence: ping.Sequence}, sameTable)
}

// sendMessage completes a message and queues it for sending. Its updates are those set by the caller or else, if the receiver is not
// considered alive, the receiver's own state, so that it can refute (Lifeguard's Buddy System). Queued broadcasts follow.
func (n *Node) sendMessage(address string, message Message, sameTable bool) {
	message.From = n.self.Name
	message.Incarnation = n.self.Incarnation
	if n.self.State != StateLeft {
		message.Hash = n.table.hash
	}
	if message.Kind == MsgPing || message.Kind == MsgAck {
		message.Payload = n.payload
	}
	receiver := n.table.entries[message.To]
	if receiver != nil && receiver.State != StateAlive && len(message.Updates) == 0 {
		message.Updates = append(message.Updates, n.receiverUpdate(receiver))
	}
	budget := MaxDatagramBytes - envelopeSize(&message) - len(message.Payload)
	for _, update := range message.Updates {
		budget -= encodedSize(update)
	}
	limit := retransmitLimit(n.table.liveCount + 1)
	message.Updates, budget = n.priority.getBroadcasts(message.Updates, budget, limit)
	if !sameTable {
		message.Updates, _ = n.broadcasts.getBroadcasts(message.Updates, budget, limit)
	}
	n.effects.Datagrams = append(n.effects.Datagrams, Datagram{address, message})
}

// receiverUpdate returns the update that tells a receiver that this node considers it suspect, dead or left.
func (n *Node) receiverUpdate(subject *entry) Update {
	update := updateOf(subject.Member)
	if subject.State == StateSuspect {
		update.From = subject.suspicion.from[0]
	}
	return update
}

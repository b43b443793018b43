package membership

// send completes a message and piggybacks the updates that fit.
func (n *Node) send(address string, message Message) { n.sendMessage(address, message, false) }

// sendAck answers a ping. A sender with the same table gets no joins, deaths and leaves, which it knows.
func (n *Node) sendAck(address string, ping *Message) {
	sameTable := ping.Hash == n.table.hash
	n.sendMessage(address, Message{Kind: MsgAck, To: ping.From, Sequence: ping.Sequence}, sameTable)
}

// sendMessage completes a message. Updates that the caller has set come first, else what this node believes of the receiver
// if that is not alive (Lifeguard's Buddy System), so that it can refute; then the queued broadcasts.
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
		message.Updates = append(message.Updates, n.beliefAbout(receiver))
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

// beliefAbout returns the update by which a member learns that it is suspected, dead or taken to have left.
func (n *Node) beliefAbout(subject *entry) Update {
	update := updateOf(subject.Member)
	if subject.State == StateSuspect {
		update.From = subject.suspicion.from[0]
	}
	return update
}

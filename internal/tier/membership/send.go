package membership

// send completes a message and attaches what there is room for. A member that is not taken for alive is told so.
func (n *Node) send(address string, message Message) { n.sendMessage(address, message, false) }

// sendAck answers a ping. One whose sender has the same list is not told who is there.
func (n *Node) sendAck(address string, ping *Message) {
	agreed := ping.Hash == n.table.hash
	n.sendMessage(address, Message{Kind: MsgAck, To: ping.From, Sequence: ping.Sequence}, agreed)
}

func (n *Node) sendMessage(address string, message Message, agreed bool) {
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
	if !agreed {
		message.Updates, _ = n.broadcasts.getBroadcasts(message.Updates, budget, limit)
	}
	n.effects.Datagrams = append(n.effects.Datagrams, Datagram{address, message})
}

// beliefAbout tells a member what is believed of it.
func (n *Node) beliefAbout(accused *entry) Update {
	update := updateOf(accused.Member)
	if accused.State == StateSuspect {
		update.From = accused.suspicion.from[0]
	}
	return update
}

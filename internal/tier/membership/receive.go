package membership

import (
	"slices"
	"time"
)

// maxRelays bounds the probes that this node makes for others at one time.
const maxRelays = 64

// relay is a probe that this node makes for another.
type relay struct {
	sequence  uint64 // of this node's ping
	target    string
	requester string
	address   string // of the requester
	asked     uint64 // the requester's sequence
	deadline  time.Duration
}

// receive takes in one message.
func (n *Node) receive(address string, message *Message) {
	if message.From == "" || message.From == n.self.Name {
		return
	}
	for _, update := range message.Updates {
		n.apply(update)
	}
	if message.To != "" && message.To != n.self.Name {
		return // for a process that had this address before
	}
	n.hearSender(address, message)
	n.deliver(address, message)
	switch message.Kind {
	case MsgPing:
		n.sendAck(address, message)
	case MsgAck:
		n.receiveAck(message)
	case MsgPingReq:
		n.receivePingRequest(address, message)
	case MsgIndirectAck:
		n.answered(message.Sequence, message.Target)
	case MsgNack:
		n.noteNack(message.Sequence, message.From)
	}
}

// hearSender compares what both sides hold of each other.
func (n *Node) hearSender(address string, message *Message) {
	if n.self.State == StateLeft {
		return
	}
	known := n.table.entries[message.From]
	switch {
	case known == nil || message.Incarnation > known.Incarnation:
		n.wantSync(address)
	case known.State == StateDead:
		n.verify(known, known.Incarnation)
		n.wantSync(address)
	case known.State != StateLeft:
		n.compare(address, message)
	}
}

func (n *Node) deliver(address string, message *Message) {
	if len(message.Payload) > 0 {
		n.effects.Payloads = append(n.effects.Payloads, Payload{message.From, address, message.Payload})
	}
}

func (n *Node) receiveAck(message *Message) {
	if n.answered(message.Sequence, message.From) {
		n.recover()
		return
	}
	for i, r := range n.relays {
		if r.sequence == message.Sequence && r.target == message.From {
			n.relays = slices.Delete(n.relays, i, i+1)
			n.send(r.address, Message{Kind: MsgIndirectAck, To: r.requester, Sequence: r.asked, Target: r.target})
			return
		}
	}
}

func (n *Node) receivePingRequest(address string, message *Message) {
	if message.TargetAddress == "" || len(n.relays) >= maxRelays {
		return
	}
	sequence := n.nextSequence()
	n.relays = append(n.relays, relay{
		sequence:  sequence,
		target:    message.Target,
		requester: message.From,
		address:   address,
		asked:     message.Sequence,
		deadline:  n.now + n.options.ProbeTimeout,
	})
	n.send(message.TargetAddress, Message{Kind: MsgPing, To: message.Target, Sequence: sequence})
}

// expireRelays tells requesters that the target has not answered.
func (n *Node) expireRelays() {
	n.relays = slices.DeleteFunc(n.relays, func(r relay) bool {
		if n.now < r.deadline {
			return false
		}
		n.send(r.address, Message{Kind: MsgNack, To: r.requester, Sequence: r.asked, Target: r.target})
		return true
	})
}

func (n *Node) nextRelayExpiry() time.Duration {
	next := never
	for i := range n.relays {
		next = min(next, n.relays[i].deadline)
	}
	return next
}

// send completes a message and attaches what there is room for. A member that is not taken for alive is told so.
func (n *Node) send(address string, message Message) { n.sendKnowing(address, message, false) }

// sendAck answers a ping. One whose sender has the same list is not told who is there.
func (n *Node) sendAck(address string, ping *Message) {
	agreed := ping.Hash == n.table.hash
	n.sendKnowing(address, Message{Kind: MsgAck, To: ping.From, Sequence: ping.Sequence}, agreed)
}

func (n *Node) sendKnowing(address string, message Message, agreed bool) {
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
		message.Updates = append(message.Updates, n.accusation(receiver))
	}
	budget := MaxDatagramBytes - envelopeSize(&message) - len(message.Payload)
	for _, update := range message.Updates {
		budget -= encodedSize(update)
	}
	limit := retransmitLimit(n.table.living + 1)
	message.Updates, budget = n.urgent.take(message.Updates, budget, limit)
	if !agreed {
		message.Updates, _ = n.regular.take(message.Updates, budget, limit)
	}
	n.effects.Datagrams = append(n.effects.Datagrams, Datagram{address, message})
}

// accusation tells a member what is believed of it.
func (n *Node) accusation(accused *entry) Update {
	update := updateOf(accused.Member)
	if accused.State == StateSuspect {
		update.From = accused.suspicion.by[0]
	}
	return update
}

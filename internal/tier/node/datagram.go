package node

import (
	"encoding/json"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/membership"
)

// envelope is the content of a datagram; exactly one field is set.
type envelope struct {
	Membership *membership.Message `json:"m,omitempty"`
	Gossip     *gossip.Message     `json:"g,omitempty"`
}

// send sends a datagram once, without a guarantee of delivery.
func (n *Node) send(address string, message envelope) {
	payload, err := json.Marshal(message)
	if err != nil {
		level.Error(n.options.Logger).Log("msg", "encoding datagram failed", "err", err)
		return
	}
	// A datagram that cannot be sent counts as lost.
	_ = n.server.SendDatagram(address, payload)
}

// handleDatagram queues a received datagram for the next step. A payload that is not an envelope is dropped, as any host can send
// one.
func (n *Node) handleDatagram(from string, payload []byte) {
	var message envelope
	if err := json.Unmarshal(payload, &message); err != nil {
		return
	}
	if message.Gossip != nil {
		n.gossip.receive(from, *message.Gossip)
	}
	if message.Membership == nil {
		return
	}
	n.mutex.Lock()
	n.input.Datagrams = append(n.input.Datagrams, membership.Datagram{Address: from, Message: *message.Membership})
	n.mutex.Unlock()
	n.signal()
}

// setPayload sets the payload that membership attaches to its pings and acks.
func (n *Node) setPayload(payload json.RawMessage) {
	n.mutex.Lock()
	n.input.Payload = payload
	n.mutex.Unlock()
	n.signal()
}

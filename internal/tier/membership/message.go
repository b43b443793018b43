package membership

import "encoding/json"

// MaxDatagramBytes bounds the JSON encoding of a Message, in bytes.
const MaxDatagramBytes = 1400

// MaxPayloadBytes bounds the payload of a Message, in bytes of JSON. A longer one is not attached.
const MaxPayloadBytes = 500

// MessageKind is what a message asks or answers.
type MessageKind string

// The kinds of message.
const (
	MsgPing        MessageKind = "ping"         // probes the receiver, which answers with an ack
	MsgAck         MessageKind = "ack"          // answers a ping
	MsgPingReq     MessageKind = "ping_request" // asks a helper to probe Target (SWIM's ping-req)
	MsgIndirectAck MessageKind = "indirect_ack" // from the helper: Target has answered
	MsgNack        MessageKind = "nack"         // from the helper: Target has not answered, the helper itself is reachable
	MsgGossip      MessageKind = "notice"       // carries updates only and is not answered
)

// Message is one datagram.
type Message struct {
	Kind          MessageKind     `json:"k"`
	From          string          `json:"f"`           // name of the sender
	Incarnation   uint64          `json:"i"`           // of the sender
	To            string          `json:"t,omitempty"` // name of the receiver, if known; a process of another name takes only the updates
	Sequence      uint64          `json:"q,omitempty"` // of a ping or ping request, returned with the answer
	Target        string          `json:"g,omitempty"` // name of the member that a helper probes
	TargetAddress string          `json:"ga,omitempty"`
	Hash          uint64          `json:"h,omitempty"` // of the sender's table; 0: the sender is leaving
	Updates       []Update        `json:"u,omitempty"`
	Payload       json.RawMessage `json:"p,omitempty"` // the application's, on MsgPing and MsgAck
}

// Update is the state of one member as another one knows it. Of a member that is dead or has left, only name, incarnation
// and state are sent.
type Update struct {
	Member
	From      string `json:"b,omitempty"` // name of the member that suspects it
	Confirmed bool   `json:"x,omitempty"` // enough members confirm the suspicion for the minimum suspicion time-out
}

// Datagram is a message with the address (host:port) that it goes to or came from.
type Datagram struct {
	Address string
	Message Message
}

// updateOf returns the update that describes a member.
func updateOf(member Member) Update {
	if !member.DeadOrLeft() {
		return Update{Member: member}
	}
	return Update{Member: Member{Name: member.Name, Incarnation: member.Incarnation, State: member.State}}
}

// encodedSize returns the bytes of an update in a message, with the comma after it.
func encodedSize(update Update) int {
	encoded, err := json.Marshal(update)
	if err != nil { // never: an Update has no field that cannot be encoded
		return MaxDatagramBytes
	}
	return len(encoded) + 1
}

// envelopeSize is an upper bound of the bytes of a message without updates and payload: keys, numbers and quoted names.
func envelopeSize(message *Message) int {
	const keysAndNumbers = 160
	names := len(message.From) + len(message.To) + len(message.Target) + len(message.TargetAddress)
	return keysAndNumbers + names
}

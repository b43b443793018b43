package membership

import "encoding/json"

// MaxDatagramBytes bounds the JSON encoding of a Message, in bytes.
const MaxDatagramBytes = 1400

// MaxPayloadBytes bounds the payload of a Message, in bytes of JSON. A longer payload is not attached.
const MaxPayloadBytes = 500

// MessageKind is the type of a message.
type MessageKind string

// The kinds of messages.
const (
	MsgPing        MessageKind = "ping"         // probe; the receiver answers with an ack
	MsgAck         MessageKind = "ack"          // answers a ping
	MsgPingReq     MessageKind = "ping_request" // asks a helper to probe Target (SWIM's ping-req)
	MsgIndirectAck MessageKind = "indirect_ack" // from the helper: Target has answered its ping
	MsgNack        MessageKind = "nack"         // from the helper: Target has not answered its ping in time
	MsgGossip      MessageKind = "notice"       // carries only updates and is not answered
)

// Message is one datagram.
type Message struct {
	Kind          MessageKind     `json:"k"`
	From          string          `json:"f"`           // name of the sender
	Incarnation   uint64          `json:"i"`           // of the sender
	To            string          `json:"t,omitempty"` // name of the receiver, if known; a process with another name applies only the updates
	Sequence      uint64          `json:"q,omitempty"` // of a ping or ping request, returned in the answer
	Target        string          `json:"g,omitempty"` // name of the member that a helper probes
	TargetAddress string          `json:"ga,omitempty"`
	Hash          uint64          `json:"h,omitempty"` // of the sender's table; 0: the sender is leaving
	Updates       []Update        `json:"u,omitempty"`
	Payload       json.RawMessage `json:"p,omitempty"` // set by the application; only in MsgPing and MsgAck
}

// Update is a member's record as another member knows it. For a member that is dead or has left, only name, incarnation and state
// are sent.
type Update struct {
	Member
	From      string `json:"b,omitempty"` // name of the member that suspects Member
	Confirmed bool   `json:"x,omitempty"` // enough members suspect it to apply the minimum suspicion timeout
}

// Datagram is a message with the address (host:port) of its receiver or sender.
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

// encodedSize returns the encoded size of an update in bytes, including a separating comma.
func encodedSize(update Update) int {
	encoded, err := json.Marshal(update)
	if err != nil { // unreachable: every field of an Update can be encoded
		return MaxDatagramBytes
	}
	return len(encoded) + 1
}

// envelopeSize returns an upper bound of the encoded size of a message without updates and payload, in bytes.
func envelopeSize(message *Message) int {
	const keysAndNumbers = 160
	names := len(message.From) + len(message.To) + len(message.Target) + len(message.TargetAddress)
	return keysAndNumbers + names
}

package membership

import "encoding/json"

// MaxDatagramBytes bounds the JSON encoding of a Message, in bytes.
const MaxDatagramBytes = 1400

// MaxPayloadBytes bounds the payload of a Message, in bytes. A longer one is not attached.
const MaxPayloadBytes = 500

// MessageKind tells what a message asks or answers.
type MessageKind string

// The kinds of message.
const (
	MsgPing        MessageKind = "ping"
	MsgAck         MessageKind = "ack"
	MsgPingReq     MessageKind = "ping_request" // please probe Target for me
	MsgIndirectAck MessageKind = "indirect_ack" // Target has answered
	MsgNack        MessageKind = "nack"         // Target has not answered, but this helper is well
	MsgGossip      MessageKind = "notice"       // carries updates only and wants no answer
)

// Message is one datagram.
type Message struct {
	Kind          MessageKind     `json:"k"`
	From          string          `json:"f"`           // name of the sender
	Incarnation   uint64          `json:"i"`           // of the sender
	To            string          `json:"t,omitempty"` // name of the receiver, where it is known: another process drops a ping
	Sequence      uint64          `json:"q,omitempty"` // comes back with the answer
	Target        string          `json:"g,omitempty"` // name of the member to be probed by a helper
	TargetAddress string          `json:"ga,omitempty"`
	Hash          uint64          `json:"h,omitempty"` // of the sender's list, see table
	Updates       []Update        `json:"u,omitempty"`
	Payload       json.RawMessage `json:"p,omitempty"` // the application's, on MsgPing and MsgAck
}

// Update is news about one member. Of one that is gone only name, incarnation and state are told.
type Update struct {
	Member
	From      string `json:"b,omitempty"` // name of the member that suspects it
	Confirmed bool   `json:"x,omitempty"` // enough members have found it silent for the shortest time to refute
}

// Datagram is a message with the address that it goes to or came from.
type Datagram struct {
	Address string
	Message Message
}

// updateOf returns the news that a member is as entry says.
func updateOf(member Member) Update {
	if !member.DeadOrLeft() {
		return Update{Member: member}
	}
	return Update{Member: Member{Name: member.Name, Incarnation: member.Incarnation, State: member.State}}
}

// encodedSize returns the bytes that an update takes in a message, with the comma behind it.
func encodedSize(update Update) int {
	encoded, err := json.Marshal(update)
	if err != nil { // a Member holds nothing that cannot be encoded
		return MaxDatagramBytes
	}
	return len(encoded) + 1
}

// envelopeSize bounds the bytes of a message without updates and payload: keys, numbers and names with their quotes.
func envelopeSize(message *Message) int {
	const keysAndNumbers = 160
	names := len(message.From) + len(message.To) + len(message.Target) + len(message.TargetAddress)
	return keysAndNumbers + names
}

package membership

import "encoding/json"

// MaxDatagram bounds the JSON encoding of a Message, in bytes.
const MaxDatagram = 1400

// MaxPayload bounds the payload of a Message, in bytes. A longer one is not attached.
const MaxPayload = 500

// Kind tells what a message asks or answers.
type Kind string

// The kinds of message.
const (
	Ping        Kind = "ping"
	Ack         Kind = "ack"
	PingRequest Kind = "ping_request" // please probe Target for me
	IndirectAck Kind = "indirect_ack" // Target has answered
	Nack        Kind = "nack"         // Target has not answered, but this helper is well
	Notice      Kind = "notice"       // carries updates only and wants no answer
)

// Message is one datagram.
type Message struct {
	Kind          Kind            `json:"k"`
	From          string          `json:"f"`           // name of the sender
	Incarnation   uint64          `json:"i"`           // of the sender
	To            string          `json:"t,omitempty"` // name of the receiver, where it is known: another process drops a ping
	Sequence      uint64          `json:"q,omitempty"` // comes back with the answer
	Target        string          `json:"g,omitempty"` // name of the member to be probed by a helper
	TargetAddress string          `json:"ga,omitempty"`
	Hash          uint64          `json:"h,omitempty"` // of the sender's list, see table
	Updates       []Update        `json:"u,omitempty"`
	Payload       json.RawMessage `json:"p,omitempty"` // the application's, on Ping and Ack
}

// Update is news about one member. Of one that is gone only name, incarnation and state are told.
type Update struct {
	Member
	By   string `json:"b,omitempty"` // name of the member that suspects it
	Sure bool   `json:"x,omitempty"` // enough members have found it silent for the shortest time to refute
}

// Datagram is a message with the address that it goes to or came from.
type Datagram struct {
	Address string
	Message Message
}

// updateOf returns the news that a member is as entry says.
func updateOf(member Member) Update {
	if !member.Gone() {
		return Update{Member: member}
	}
	return Update{Member: Member{Name: member.Name, Incarnation: member.Incarnation, State: member.State}}
}

// encodedSize returns the bytes that an update takes in a message, with the comma behind it.
func encodedSize(update Update) int {
	encoded, err := json.Marshal(update)
	if err != nil { // a Member holds nothing that cannot be encoded
		return MaxDatagram
	}
	return len(encoded) + 1
}

// envelopeSize bounds the bytes of a message without updates and payload: keys, numbers and names with their quotes.
func envelopeSize(message *Message) int {
	const keysAndNumbers = 160
	names := len(message.From) + len(message.To) + len(message.Target) + len(message.TargetAddress)
	return keysAndNumbers + names
}

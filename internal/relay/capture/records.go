package capture

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"mastusher/control"
)

// Type is the type of a record. Its numbers are stored in files and never reused.
type Type uint8

// The types of records.
const (
	TypeBegin   Type = 1
	TypeState   Type = 2
	TypeTurn    Type = 3
	TypeName    Type = 4
	TypeMessage Type = 5
	TypeGap     Type = 6
	TypeNote    Type = 7
	TypeCore    Type = 8
	TypeInput   Type = 9

	maxType = 24 // all types are below this, so that each is one byte of CBOR
	// recordStart is the first byte of a record: the head of a CBOR array of two, type and content.
	recordStart = 0x82
)

// newRecord returns an empty record of a type, to decode into; false: the type is unknown, and the record takes the raw bytes.
func newRecord(t Type) (record any, known bool) {
	switch t {
	case TypeBegin:
		return &Begin{}, true
	case TypeState:
		return &State{}, true
	case TypeTurn:
		return &Turn{}, true
	case TypeName:
		return &Name{}, true
	case TypeMessage:
		return &Message{}, true
	case TypeGap:
		return &Gap{}, true
	case TypeNote:
		return &Note{}, true
	case TypeCore:
		return &Core{}, true
	case TypeInput:
		return &Input{}, true
	}
	return &cbor.RawMessage{}, false
}

// typeOf returns the type of a record, which is passed as a pointer; false: it is not a record.
func typeOf(record any) (Type, bool) {
	switch record.(type) {
	case *Begin:
		return TypeBegin, true
	case *State:
		return TypeState, true
	case *Turn:
		return TypeTurn, true
	case *Name:
		return TypeName, true
	case *Message:
		return TypeMessage, true
	case *Gap:
		return TypeGap, true
	case *Note:
		return TypeNote, true
	case *Core:
		return TypeCore, true
	case *Input:
		return TypeInput, true
	}
	return 0, false
}

// Begin is the first record of a file: the relay, its settings and its clock.
type Begin struct {
	Relay    string           `cbor:"1,keyasint"`
	At       int64            `cbor:"2,keyasint"` // Unix time in µs that corresponds to Clock
	Clock    time.Duration    `cbor:"3,keyasint"` // reading of the module's clock at the time At
	Seed     uint64           `cbor:"4,keyasint"`
	Build    string           `cbor:"5,keyasint"` // of the program that recorded
	Settings control.Settings `cbor:"6,keyasint"`
	Classes  []string         `cbor:"7,keyasint,omitempty"`
	Core     *CoreSettings    `cbor:"8,keyasint,omitempty"` // nil: only the module is recorded
}

// State is the module's whole state before the next turn. A nil Snapshot stands for the state of a new module.
type State struct {
	Snapshot *control.Snapshot `cbor:"1,keyasint,omitempty"`
}

// Turn is one Step of the module: its events and its actions.
type Turn struct {
	No      uint64           `cbor:"1,keyasint"`
	Now     time.Duration    `cbor:"2,keyasint"`
	Events  []control.Event  `cbor:"3,keyasint,omitempty"`
	Actions []control.Action `cbor:"4,keyasint,omitempty"`
}

// Name maps the module's number of a destination to its name.
type Name struct {
	Number uint32 `cbor:"1,keyasint"`
	Front  string `cbor:"2,keyasint"`
	Name   string `cbor:"3,keyasint"`
}

// Message maps the module's number of a message to its id.
type Message struct {
	Ref   uint64 `cbor:"1,keyasint"`
	Front string `cbor:"2,keyasint"`
	ID    string `cbor:"3,keyasint"`
}

// Gap marks a place where turns are missing.
type Gap struct {
	Turns  uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Note is an event of the relay itself, in words.
type Note struct {
	Now  time.Duration `cbor:"1,keyasint"`
	Text string        `cbor:"2,keyasint"`
}

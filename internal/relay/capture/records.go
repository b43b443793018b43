package capture

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"mastusher/control"
)

// Type is a record's type. Numbers are never given to another type.
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

	maxType = 24 // types stay below: each is one byte of CBOR
	// recordStart is the first byte of a record: a CBOR array of two, type and record.
	recordStart = 0x82
)

// newRecord returns a record of a type, to be decoded into; false: the type is not known here, and the record only takes up its bytes.
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

// typeOf is the type of a record, given as a pointer.
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

// Begin is a file's first record: what is needed to make sense of it.
type Begin struct {
	Relay    string           `cbor:"1,keyasint"`
	At       int64            `cbor:"2,keyasint"` // Unix µs when the module's clock stood at Clock
	Clock    time.Duration    `cbor:"3,keyasint"`
	Seed     uint64           `cbor:"4,keyasint"`
	Build    string           `cbor:"5,keyasint"` // of the program that decided
	Settings control.Settings `cbor:"6,keyasint"`
	Classes  []string         `cbor:"7,keyasint,omitempty"`
	Core     *CoreSettings    `cbor:"8,keyasint,omitempty"` // nil: only the module is recorded
}

// State is the module's whole state before the turn that follows, or the start, where Snapshot is nil.
type State struct {
	Snapshot *control.Snapshot `cbor:"1,keyasint,omitempty"`
}

// Turn is one Step of the module: what the module was told and what it decided.
type Turn struct {
	No      uint64           `cbor:"1,keyasint"`
	Now     time.Duration    `cbor:"2,keyasint"`
	Events  []control.Event  `cbor:"3,keyasint,omitempty"`
	Actions []control.Action `cbor:"4,keyasint,omitempty"`
}

// Name gives the module's number of a destination its name.
type Name struct {
	Number uint32 `cbor:"1,keyasint"`
	Front  string `cbor:"2,keyasint"`
	Name   string `cbor:"3,keyasint"`
}

// Message gives the module's number of a message its id.
type Message struct {
	Ref   uint64 `cbor:"1,keyasint"`
	Front string `cbor:"2,keyasint"`
	ID    string `cbor:"3,keyasint"`
}

// Gap stands where turns are missing.
type Gap struct {
	Turns  uint64 `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// Note is what happened to the relay itself.
type Note struct {
	Now  time.Duration `cbor:"1,keyasint"`
	Text string        `cbor:"2,keyasint"`
}

// Package capture records all that the decision module is told and what it decides, and replays that. The file is the
// base of the tools for traces: chunks that stand for themselves, with an index of times, turns and messages in the
// head of each, so that a file can be cut, merged and searched without reading all of it.
//
// A file is a head of eight bytes ("MCAP", major, minor, 0, 0) and chunks. A chunk is
//
//	"CHNK", size of its head (uint32, little endian), size of its body (uint32), xxhash64 of both, head, body
//
// where the head is one CBOR map (Head) and the body, compressed by zstd, a CBOR sequence of records [type, record].
// Types that a reader does not know are skipped; another major version is refused.
package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"mastusher/control"
)

// Major changes when older readers can't read a file, Minor when they can.
const (
	Major = 1
	Minor = 1 // 1: the core's own inputs, TypeCore and TypeInput

	fileMagic  = "MCAP"
	chunkMagic = "CHNK"
	fileHead   = 8
	chunkHead  = 4 + 4 + 4 + 8
	maxChunk   = 16 << 20 // bytes of a body, compressed or not
)

// Head is what a chunk says of itself.
type Head struct {
	First    time.Duration `cbor:"1,keyasint"` // the module's clock in its first turn and its last
	Last     time.Duration `cbor:"2,keyasint"`
	Turn     uint64        `cbor:"3,keyasint"` // number of its first turn
	Turns    int           `cbor:"4,keyasint"`
	Size     int           `cbor:"5,keyasint"`           // of its body before it was compressed
	State    bool          `cbor:"6,keyasint,omitempty"` // it begins with the whole state: a replay can begin here
	Messages []uint32      `cbor:"7,keyasint,omitempty"` // low halves of xxhash64 of the ids of messages that arrive in it, sorted
}

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
)

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

// ErrVersion is another major version.
var ErrVersion = errors.New("capture: another version")

// block gathers records that will make a chunk.
type block struct {
	body bytes.Buffer
	head Head
}

// bufferEncoder encodes records right into a block's buffer.
var bufferEncoder = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// add appends a record.
func (b *block) add(t Type, record any) error {
	b.body.Write([]byte{0x82, byte(t)}) // an array of two; types stay under 24
	if text, ok := appendFast(b.body.AvailableBuffer(), record); ok {
		b.body.Write(text)
	} else if err := bufferEncoder.MarshalToBuffer(record, &b.body); err != nil {
		return fmt.Errorf("capture: %w", err)
	}
	switch r := record.(type) {
	case *Turn:
		if b.head.Turns == 0 {
			b.head.Turn = r.No
		}
		b.at(r.Now)
		b.head.Turns++
	case *Input:
		b.at(r.Now)
	case *Message:
		b.head.Messages = append(b.head.Messages, idHash(r.ID))
	case *State:
		b.head.State = true
	}
	return nil
}

func (b *block) at(now time.Duration) {
	if b.head.First == 0 {
		b.head.First = now
	}
	b.head.Last = now
}

// reset empties a block for other records. A buffer that a large state has grown is let go.
func (b *block) reset(keep int) {
	messages := b.head.Messages[:0]
	if b.head = (Head{}); cap(messages) <= 1<<12 {
		b.head.Messages = messages
	}
	if b.body.Reset(); b.body.Cap() > 4*keep {
		b.body = bytes.Buffer{}
	}
}

func idHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// packer makes chunks of blocks.
type packer struct {
	encoder *zstd.Encoder
	buffer  []byte
}

func newPacker() (*packer, error) {
	// The window is no larger than a chunk, and one goroutine does it all: a capture may cost the relay 2 MB.
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(128<<10), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &packer{encoder: enc}, nil
}

// pack returns the chunk of a block, good until the next call; nil: the block is empty.
func (p *packer) pack(b *block) ([]byte, error) {
	if b.body.Len() == 0 {
		return nil, nil
	}
	b.head.Size = b.body.Len()
	slices.Sort(b.head.Messages)
	b.head.Messages = slices.Compact(b.head.Messages)
	head, err := cbor.Marshal(b.head)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	p.buffer = append(p.buffer[:0], make([]byte, chunkHead)...)
	p.buffer = append(p.buffer, head...)
	p.buffer = p.encoder.EncodeAll(b.body.Bytes(), p.buffer)
	copy(p.buffer, chunkMagic)
	binary.LittleEndian.PutUint32(p.buffer[4:], uint32(len(head)))
	binary.LittleEndian.PutUint32(p.buffer[8:], uint32(len(p.buffer)-chunkHead-len(head)))
	binary.LittleEndian.PutUint64(p.buffer[12:], xxhash.Sum64(p.buffer[chunkHead:]))
	return p.buffer, nil
}

// chunker gathers records and writes chunks of them, for tools that nothing waits for.
type chunker struct {
	block
	*packer
}

func newChunker() (*chunker, error) {
	p, err := newPacker()
	return &chunker{packer: p}, err
}

func (c *chunker) flushTo(w io.Writer) error {
	b, err := c.pack(&c.block)
	if err == nil && b != nil {
		_, err = w.Write(b)
	}
	c.reset(64 << 10)
	return err
}

func fileHeader() []byte {
	return []byte{fileMagic[0], fileMagic[1], fileMagic[2], fileMagic[3], Major, Minor, 0, 0}
}

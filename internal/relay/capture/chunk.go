package capture

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Head is the header of a chunk, which tells what the chunk holds.
type Head struct {
	First    time.Duration `cbor:"1,keyasint"`           // time of the chunk's first turn, on the module's clock
	Last     time.Duration `cbor:"2,keyasint"`           // time of its last turn
	Turn     uint64        `cbor:"3,keyasint"`           // number of its first turn
	Turns    int           `cbor:"4,keyasint"`           // number of turns in it
	Size     int           `cbor:"5,keyasint"`           // bytes of the body before compression
	State    bool          `cbor:"6,keyasint,omitempty"` // the chunk begins with the whole state, so a replay can start here
	Messages []uint32      `cbor:"7,keyasint,omitempty"` // low halves of xxhash64 of the ids of messages in the chunk, sorted
}

// block collects the encoded records of the next chunk.
type block struct {
	body bytes.Buffer
	head Head
}

// bufferEncoder encodes records directly into a block's buffer.
var bufferEncoder = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// add appends a record.
func (b *block) add(t Type, record any) error {
	b.body.Write([]byte{recordStart, byte(t)})
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
		b.observeTime(r.Now)
		b.head.Turns++
	case *Input:
		b.observeTime(r.Now)
	case *Message:
		b.head.Messages = append(b.head.Messages, idHash(r.ID))
	case *State:
		b.head.State = true
	}
	return nil
}

// observeTime extends the times in the chunk's head to now.
func (b *block) observeTime(now time.Duration) {
	if b.head.First == 0 {
		b.head.First = now
	}
	b.head.Last = now
}

// reset empties a block for reuse. A buffer that has grown for a large state is released.
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

// packer compresses blocks into chunks.
type packer struct {
	encoder *zstd.Encoder
	buffer  []byte
}

func newPacker() (*packer, error) {
	// The window is no larger than a chunk, and one goroutine does all the work: a capture may use 2 MB of the relay's memory.
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(128<<10), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &packer{encoder: enc}, nil
}

// pack returns the chunk of a block, valid until the next call; nil: the block is empty.
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
	putChunkHeader(p.buffer, chunkHeader{
		headSize: int64(len(head)),
		bodySize: int64(len(p.buffer) - chunkHead - len(head)),
		checksum: xxhash.Sum64(p.buffer[chunkHead:]),
	})
	return p.buffer, nil
}

// chunker collects records and writes them as chunks, for tools that may block while it does.
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

// MayContain reports whether a message arrives in a chunk or is open at its start. False positives are possible but rare.
func (h *Head) MayContain(id string) bool {
	_, ok := slices.BinarySearch(h.Messages, idHash(id))
	if !ok { // in heads of minor version 0 the hashes are not sorted
		ok = slices.Contains(h.Messages, idHash(id))
	}
	return ok
}

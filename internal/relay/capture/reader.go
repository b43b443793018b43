package capture

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Reader reads a capture, up to the last whole chunk.
type Reader struct {
	source   io.ReadSeeker
	decoder  *zstd.Decoder
	offset   int64
	replayed int64 // by Each
	size     int64
	Minor    byte
	// Torn is why reading ended before the end of the file; nil: it did not.
	Torn error
	// Skipped counts records of types that this program does not know.
	Skipped int
}

// NewReader checks the head of a file.
func NewReader(r io.ReadSeeker) (*Reader, error) {
	size, err := r.Seek(0, io.SeekEnd)
	if err == nil {
		_, err = r.Seek(0, io.SeekStart)
	}
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var head [fileHead]byte
	if _, err = io.ReadFull(r, head[:]); err != nil || string(head[:4]) != fileMagic {
		return nil, errors.New("capture: this is no capture")
	}
	if head[4] != Major {
		return nil, fmt.Errorf("%w: the file is of major version %d, this program reads %d", ErrVersion, head[4], Major)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunk))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &Reader{source: r, decoder: dec, offset: fileHead, size: size, Minor: head[5]}, nil
}

// Chunk is one chunk as it stands in a file.
type Chunk struct {
	Head
	At   int64 // where it stands in the file
	body []byte
}

// Progress is the share of the file whose records Each has handed on.
func (r *Reader) Progress() float64 { return float64(r.replayed) / float64(max(r.size, 1)) }

// Next returns the next chunk; io.EOF after the last whole one.
func (r *Reader) Next() (*Chunk, error) {
	if r.Torn != nil || r.offset >= r.size {
		return nil, io.EOF
	}
	torn := func(why string) (*Chunk, error) {
		r.Torn = fmt.Errorf("capture: at byte %d of %d: %s", r.offset, r.size, why)
		return nil, io.EOF
	}
	var h [chunkHead]byte
	if _, err := r.source.Seek(r.offset, io.SeekStart); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	if _, err := io.ReadFull(r.source, h[:]); err != nil {
		return torn("the head of a chunk is cut short")
	}
	head, body := int64(binary.LittleEndian.Uint32(h[4:])), int64(binary.LittleEndian.Uint32(h[8:]))
	if string(h[:4]) != chunkMagic || head > maxChunk || body > maxChunk {
		return torn("no chunk begins here")
	}
	if r.offset+chunkHead+head+body > r.size {
		return torn("a chunk is cut short")
	}
	all := make([]byte, head+body)
	if _, err := io.ReadFull(r.source, all); err != nil {
		return torn("a chunk is cut short")
	}
	if xxhash.Sum64(all) != binary.LittleEndian.Uint64(h[12:]) {
		return torn("a chunk is damaged")
	}
	c := &Chunk{At: r.offset, body: all[head:]}
	if err := cbor.Unmarshal(all[:head], &c.Head); err != nil {
		return torn("the head of a chunk can't be read: " + err.Error())
	}
	r.offset += chunkHead + head + body
	return c, nil
}

// Records hands the records of a chunk to do, as pointers to their types, until it returns an error.
func (r *Reader) Records(c *Chunk, do func(record any) error) error {
	text, err := r.decoder.DecodeAll(c.body, make([]byte, 0, min(c.Size, maxChunk)))
	if err != nil {
		return fmt.Errorf("capture: the chunk at byte %d: %w", c.At, err)
	}
	for len(text) > 0 {
		if len(text) < 2 || text[0] != 0x82 || text[1] >= 24 {
			return fmt.Errorf("capture: the chunk at byte %d holds what is no record", c.At)
		}
		var record any
		switch Type(text[1]) {
		case TypeBegin:
			record = &Begin{}
		case TypeState:
			record = &State{}
		case TypeTurn:
			record = &Turn{}
		case TypeName:
			record = &Name{}
		case TypeMessage:
			record = &Message{}
		case TypeGap:
			record = &Gap{}
		case TypeNote:
			record = &Note{}
		case TypeCore:
			record = &Core{}
		case TypeInput:
			record = &Input{}
		default:
			record = &cbor.RawMessage{}
			r.Skipped++
		}
		if text, err = cbor.UnmarshalFirst(text[2:], record); err != nil {
			return fmt.Errorf("capture: the chunk at byte %d: %w", c.At, err)
		}
		if _, unknown := record.(*cbor.RawMessage); unknown {
			continue
		}
		if err := do(record); err != nil {
			return err
		}
	}
	return nil
}

// Index reads the heads of all whole chunks from here on, and no bodies: where each stands, its times, and the messages
// that arrive in it. It leaves the reader where it was.
func (r *Reader) Index() ([]Chunk, error) {
	var all []Chunk
	for at := r.offset; at+chunkHead <= r.size; {
		var h [chunkHead]byte
		if _, err := r.source.Seek(at, io.SeekStart); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		if _, err := io.ReadFull(r.source, h[:]); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		head, body := int64(binary.LittleEndian.Uint32(h[4:])), int64(binary.LittleEndian.Uint32(h[8:]))
		if string(h[:4]) != chunkMagic || head > maxChunk || body > maxChunk || at+chunkHead+head+body > r.size {
			break
		}
		text := make([]byte, head)
		if _, err := io.ReadFull(r.source, text); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		c := Chunk{At: at}
		if cbor.Unmarshal(text, &c.Head) != nil {
			break
		}
		all = append(all, c)
		at += chunkHead + head + body
	}
	return all, nil
}

// SeekTo has reading go on at a chunk of the index.
func (r *Reader) SeekTo(c *Chunk) { r.offset = c.At }

// Each hands all records from here on to do, in order, until it returns an error. Chunks are decoded ahead on another
// goroutine, which has ended when Each returns; where the reader stands then is not said.
func (r *Reader) Each(do func(record any) error) error {
	type decoded struct {
		records []any
		at      int64
		err     error
	}
	chunks, stop := make(chan decoded, 4), make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			c, err := r.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			p := decoded{err: err}
			if err == nil {
				p.at = c.At
				p.err = r.Records(c, func(record any) error {
					p.records = append(p.records, record)
					return nil
				})
			}
			select {
			case chunks <- p:
			case <-stop:
				return
			}
			if p.err != nil {
				return
			}
		}
	}()
	defer func() {
		close(stop)
		for range chunks { // until it has ended
		}
	}()
	for p := range chunks {
		r.replayed = p.at
		for _, record := range p.records { // also those before an error
			if err := do(record); err != nil {
				return err
			}
		}
		if p.err != nil {
			return p.err
		}
	}
	r.replayed = r.size
	return nil
}

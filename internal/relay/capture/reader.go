package capture

import (
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// Reader reads a capture, up to the last complete chunk.
type Reader struct {
	source   io.ReadSeeker
	decoder  *zstd.Decoder
	offset   int64
	replayed int64 // offset of the chunk whose records Each is passing on
	size     int64
	Minor    byte
	// Torn is a *TornError if reading ended before the end of the file, otherwise nil.
	Torn error
	// Skipped counts records of unknown types.
	Skipped int
}

// NewReader checks the head of a file. It returns ErrNotCapture or ErrVersion for a file in another format or major version.
func NewReader(source io.ReadSeeker) (*Reader, error) {
	size, err := source.Seek(0, io.SeekEnd)
	if err == nil {
		_, err = source.Seek(0, io.SeekStart)
	}
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var head [fileHead]byte
	if _, err = io.ReadFull(source, head[:]); err != nil || string(head[:4]) != fileMagic {
		return nil, ErrNotCapture
	}
	if head[4] != Major {
		return nil, fmt.Errorf("%w: the file is of major version %d, this program reads %d", ErrVersion, head[4], Major)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunk))
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return &Reader{source: source, decoder: decoder, offset: fileHead, size: size, Minor: head[5]}, nil
}

// Chunk is one chunk of a file.
type Chunk struct {
	Head
	At   int64 // offset in the file, in bytes
	body []byte
}

// Progress returns the share of the file, from 0 to 1, whose records Each has passed on.
func (r *Reader) Progress() float64 { return float64(r.replayed) / float64(max(r.size, 1)) }

// Next returns the next chunk; io.EOF after the last complete one.
func (r *Reader) Next() (*Chunk, error) {
	if r.Torn != nil || r.offset >= r.size {
		return nil, io.EOF
	}
	if _, err := r.source.Seek(r.offset, io.SeekStart); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var start [chunkHead]byte
	if _, err := io.ReadFull(r.source, start[:]); err != nil {
		return r.torn("the fixed head of a chunk is cut short")
	}
	header, ok := parseChunkHeader(start[:])
	if !ok {
		return r.torn("no chunk begins here")
	}
	if r.offset+header.size() > r.size {
		return r.torn("a chunk is cut short")
	}
	text := make([]byte, header.headSize+header.bodySize)
	if _, err := io.ReadFull(r.source, text); err != nil {
		return r.torn("a chunk is cut short")
	}
	if xxhash.Sum64(text) != header.checksum {
		return r.torn("a chunk is damaged")
	}
	chunk := &Chunk{At: r.offset, body: text[header.headSize:]}
	if err := cbor.Unmarshal(text[:header.headSize], &chunk.Head); err != nil {
		return r.torn("the head of a chunk can't be read: " + err.Error())
	}
	r.offset += header.size()
	return chunk, nil
}

// torn records that the file can't be read past the current offset, and returns io.EOF.
func (r *Reader) torn(reason string) (*Chunk, error) {
	r.Torn = &TornError{Offset: r.offset, Size: r.size, Reason: reason}
	return nil, io.EOF
}

// Records calls do with each record of a chunk, as a pointer, until do returns an error. Its own error is a *ChunkError.
func (r *Reader) Records(chunk *Chunk, do func(record any) error) error {
	text, err := r.decoder.DecodeAll(chunk.body, make([]byte, 0, min(chunk.Size, maxChunk)))
	if err != nil {
		return &ChunkError{Offset: chunk.At, Err: err}
	}
	for len(text) > 0 {
		if len(text) < 2 || text[0] != recordStart || text[1] >= maxType {
			return &ChunkError{Offset: chunk.At}
		}
		record, known := newRecord(Type(text[1]))
		if !known {
			r.Skipped++
		}
		if text, err = cbor.UnmarshalFirst(text[2:], record); err != nil {
			return &ChunkError{Offset: chunk.At, Err: err}
		}
		if !known {
			continue
		}
		if err := do(record); err != nil {
			return err
		}
	}
	return nil
}

// Index reads the heads, but not the bodies, of all complete chunks from the current position on. The position stays the same.
func (r *Reader) Index() ([]Chunk, error) {
	var index []Chunk
	for offset := r.offset; offset+chunkHead <= r.size; {
		var start [chunkHead]byte
		if _, err := r.source.Seek(offset, io.SeekStart); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		if _, err := io.ReadFull(r.source, start[:]); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		header, ok := parseChunkHeader(start[:])
		if !ok || offset+header.size() > r.size {
			break
		}
		text := make([]byte, header.headSize)
		if _, err := io.ReadFull(r.source, text); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		chunk := Chunk{At: offset}
		if cbor.Unmarshal(text, &chunk.Head) != nil {
			break
		}
		index = append(index, chunk)
		offset += header.size()
	}
	return index, nil
}

// SeekTo moves the reader to a chunk of the index.
func (r *Reader) SeekTo(c *Chunk) { r.offset = c.At }

// decodedChunk holds the decoded records of a chunk, and the error that ended decoding.
type decodedChunk struct {
	records []any
	offset  int64
	err     error // what ended decoding after these records; nil: the chunk was complete
}

// Each calls do with every record from the current position on, in order, until do returns an error. Chunks are decoded ahead
// on another goroutine, which has ended when Each returns. The reader's position is then unspecified.
func (r *Reader) Each(do func(record any) error) error {
	chunks, stop := make(chan decodedChunk, 4), make(chan struct{})
	go r.decodeAhead(chunks, stop)
	defer func() {
		close(stop)
		for range chunks { // wait until the decoder has ended
		}
	}()
	for chunk := range chunks {
		r.replayed = chunk.offset
		for _, record := range chunk.records { // including those before an error
			if err := do(record); err != nil {
				return err
			}
		}
		if chunk.err != nil {
			return chunk.err
		}
	}
	r.replayed = r.size
	return nil
}

// decodeAhead sends decoded chunks from the current position on, until the first error or until stop is closed. Then it closes chunks.
func (r *Reader) decodeAhead(chunks chan<- decodedChunk, stop <-chan struct{}) {
	defer close(chunks)
	for {
		chunk, err := r.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		decoded := decodedChunk{err: err}
		if err == nil {
			decoded.offset = chunk.At
			decoded.err = r.Records(chunk, func(record any) error {
				decoded.records = append(decoded.records, record)
				return nil
			})
		}
		select {
		case chunks <- decoded:
		case <-stop:
			return
		}
		if decoded.err != nil {
			return
		}
	}
}

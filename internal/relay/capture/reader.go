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
	replayed int64 // by Each
	size     int64
	Minor    byte
	// Torn is why reading ended before the end of the file, a *TornError; nil: it did not.
	Torn error
	// Skipped counts records of types that this program does not know.
	Skipped int
}

// NewReader checks the head of a file. It returns ErrNotCapture or ErrVersion for a file that can't be read.
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

// Chunk is one chunk as it stands in a file.
type Chunk struct {
	Head
	At   int64 // where it stands in the file
	body []byte
}

// Progress is the share of the file whose records Each has handed on.
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
		return r.torn("the head of a chunk is cut short")
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

// torn ends reading here for good.
func (r *Reader) torn(reason string) (*Chunk, error) {
	r.Torn = &TornError{Offset: r.offset, Size: r.size, Reason: reason}
	return nil, io.EOF
}

// Records hands the records of a chunk to do, as pointers to their types, until it returns an error. Its own error is a *ChunkError.
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

// Index reads the heads of all complete chunks from here on, and no bodies: where each stands, its times, and the messages
// that arrive in it. It leaves the reader where it was.
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

// SeekTo has reading go on at a chunk of the index.
func (r *Reader) SeekTo(c *Chunk) { r.offset = c.At }

// decodedChunk is what Each's decoder has made of a chunk: records, and what ended them.
type decodedChunk struct {
	records []any
	offset  int64
	err     error // stands behind the records
}

// Each hands all records from here on to do, in order, until it returns an error. Chunks are decoded ahead on another
// goroutine, which has ended when Each returns; where the reader stands then is not said.
func (r *Reader) Each(do func(record any) error) error {
	chunks, stop := make(chan decodedChunk, 4), make(chan struct{})
	go r.decodeAhead(chunks, stop)
	defer func() {
		close(stop)
		for range chunks { // until it has ended
		}
	}()
	for chunk := range chunks {
		r.replayed = chunk.offset
		for _, record := range chunk.records { // also those before an error
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

// decodeAhead sends all chunks from here on, up to the first error, until stop is closed. It closes chunks when it ends.
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

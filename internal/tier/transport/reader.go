package transport

import (
	"bytes"
	"errors"
	"io"
)

// lineReader reads lines from a connection and unpacks packed ones. A returned line is valid until the next call.
type lineReader struct {
	source   io.Reader
	bound    int
	buffer   []byte
	start    int // index of the first unread byte in buffer
	end      int // end of the bytes received in buffer
	unpacker unpacker
	unpacked bytes.Buffer // unpacked lines that were not returned yet
}

// newLineReader returns a reader of lines of up to bound bytes including the line feed.
func newLineReader(source io.Reader, bound int) *lineReader {
	return &lineReader{source: source, bound: bound, buffer: make([]byte, initialReadBytes)}
}

// next returns the next line without its line feed.
func (r *lineReader) next() ([]byte, error) {
	for r.unpacked.Len() == 0 {
		text, err := r.nextRaw()
		if err != nil {
			return nil, err
		}
		length, isPacked, err := packedLength(text)
		if err != nil {
			return nil, err
		}
		if !isPacked {
			return text, nil
		}
		if err := r.unpack(length); err != nil {
			return nil, err
		}
	}
	text := r.unpacked.Bytes()
	end := bytes.IndexByte(text, '\n')
	r.unpacked.Next(end + 1)
	return text[:end], nil
}

// unpack reads and unpacks the next length bytes.
func (r *lineReader) unpack(length int) error {
	for r.end-r.start < length {
		r.compact()
		if err := r.fill(); err != nil {
			return unexpectedEOF(err)
		}
	}
	packed := r.buffer[r.start : r.start+length]
	r.start += length
	if r.unpacked.Cap() > maxIdleReadBytes {
		r.unpacked = bytes.Buffer{}
	}
	r.unpacked.Reset()
	return r.unpacker.unpack(&r.unpacked, packed, r.bound)
}

// unexpectedEOF converts io.EOF inside a line to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextRaw returns the next line of the connection without unpacking.
func (r *lineReader) nextRaw() ([]byte, error) {
	searched := r.start
	for {
		if at := bytes.IndexByte(r.buffer[searched:r.end], '\n'); at >= 0 {
			text := r.buffer[r.start : searched+at]
			r.start = searched + at + 1
			if len(text) >= r.bound {
				return nil, &TooLongError{Bytes: len(text) + 1, Bound: r.bound}
			}
			return text, nil
		}
		if r.end-r.start >= r.bound {
			return nil, &TooLongError{Bytes: r.end - r.start, Bound: r.bound}
		}
		unread := r.end - r.start
		r.compact()
		searched = r.start + unread
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads once into the free part of the buffer.
func (r *lineReader) fill() error {
	count, err := r.source.Read(r.buffer[r.end:])
	r.end += count
	if count > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	if r.end > r.start {
		return unexpectedEOF(err)
	}
	return err
}

// compact moves the unread bytes to the front of the buffer. It grows a full buffer, and replaces an empty one that a long line has
// grown by a small one.
func (r *lineReader) compact() {
	unread := r.buffer[r.start:r.end]
	switch {
	case len(unread) == 0 && len(r.buffer) > maxIdleReadBytes:
		r.buffer = make([]byte, initialReadBytes)
	case len(unread) == len(r.buffer):
		grown := make([]byte, 2*len(r.buffer))
		copy(grown, unread)
		r.buffer = grown
	case r.start > 0:
		copy(r.buffer, unread)
	}
	r.start, r.end = 0, len(unread)
}

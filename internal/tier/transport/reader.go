package transport

import (
	"bytes"
	"io"
)

// lineReader cuts a connection into lines. A line is valid until the next call.
type lineReader struct {
	source   io.Reader
	bound    int
	buffer   []byte
	start    int // first byte not handed out
	end      int // end of what has been read
	unpacker unpacker
	unpacked bytes.Buffer // lines that came packed and are not handed out
}

func newLineReader(source io.Reader, bound int) *lineReader {
	return &lineReader{source: source, bound: bound, buffer: make([]byte, firstReadBytes)}
}

// next gives the next line without its line feed.
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

// unpack takes the bytes that follow as packed lines.
func (r *lineReader) unpack(length int) error {
	for r.end-r.start < length {
		r.makeRoom()
		if err := r.fill(); err != nil {
			return unexpected(err)
		}
	}
	packed := r.buffer[r.start : r.start+length]
	r.start += length
	if r.unpacked.Cap() > keptReadBytes {
		r.unpacked = bytes.Buffer{}
	}
	r.unpacked.Reset()
	return r.unpacker.unpack(&r.unpacked, packed, r.bound)
}

// unexpected is the error of a connection that ends where more must come.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// nextRaw gives the next line of the connection itself.
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
		held := r.end - r.start
		r.makeRoom()
		searched = r.start + held
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

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
		return unexpected(err)
	}
	return err
}

// makeRoom moves what is held to the front, grows a full buffer and gives back one that a long line left behind.
func (r *lineReader) makeRoom() {
	held := r.buffer[r.start:r.end]
	switch {
	case len(held) == 0 && len(r.buffer) > keptReadBytes:
		r.buffer = make([]byte, firstReadBytes)
	case len(held) == len(r.buffer):
		grown := make([]byte, 2*len(r.buffer))
		copy(grown, held)
		r.buffer = grown
	case r.start > 0:
		copy(r.buffer, held)
	}
	r.start, r.end = 0, len(held)
}

package transport

import (
	"bytes"
	"context"
	"errors"
	"io"

	"mastusher/internal/tier/memorybudget"
)

// lineReader reads lines from a connection and unpacks packed ones. A returned line is valid until the next call.
type lineReader struct {
	source   io.Reader
	bound    int
	buffer   []byte
	start    int // index of the first unread byte in buffer
	end      int // end of the bytes received in buffer
	unpacker unpacker
	unpacked bytes.Buffer        // unpacked lines that were not returned yet
	lease    *memorybudget.Lease // of the connection; buffers over maxIdleReadBytes are reserved
	giveUp   func()              // breaks the connection, to give the memory of an incomplete line back
}

// newLineReader returns a reader of lines of up to bound bytes including the line feed.
func newLineReader(source io.Reader, bound int) *lineReader {
	return &lineReader{source: source, bound: bound, buffer: make([]byte, initialReadBytes)}
}

// reserveFrom makes the reader reserve the memory of long lines. giveUp must break the connection.
func (r *lineReader) reserveFrom(lease *memorybudget.Lease, giveUp func()) {
	r.lease, r.giveUp = lease, giveUp
}

// refusedLineError reports a line that was read and dropped, as there was no memory for it. The connection can be used further.
type refusedLineError struct {
	start []byte // of the line
}

// Error implements error.
func (*refusedLineError) Error() string { return "no memory for a line" }

// errNoMemory breaks a connection whose packed lines can't be unpacked for lack of memory.
var errNoMemory = errors.New("no memory for packed lines")

// call returns the kind and number with which the line begins, or false if it has none.
func (e *refusedLineError) call() (kind lineKind, id uint64, ok bool) {
	rest, ok := bytes.CutPrefix(e.start, []byte(`{"`))
	if !ok {
		return "", 0, false
	}
	kind, rest = parseKind(rest)
	id, _, ok = parseNumber(rest)
	return kind, id, ok && kind != ""
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
		if !r.compact() {
			return errNoMemory
		}
		if err := r.fill(); err != nil {
			return unexpectedEOF(err)
		}
	}
	packed := r.buffer[r.start : r.start+length]
	r.start += length
	if r.unpacked.Cap() > maxIdleReadBytes {
		r.unpacked = bytes.Buffer{}
		r.lease.ShrinkTo(memorybudget.Small, 0)
	}
	r.unpacked.Reset()
	if err := r.unpacker.unpack(&r.unpacked, packed, min(r.bound, maxPackBytes)); err != nil {
		return err
	}
	return r.reserveUnpacked()
}

// reserveUnpacked reserves the memory of unpacked lines, which maxPackBytes bounds. A refused line can't be skipped here: the dictionaries
// of both sides would differ. So the reader waits for the memory for some time.
func (r *lineReader) reserveUnpacked() error {
	if r.unpacked.Cap() <= maxIdleReadBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), unpackWait)
	defer cancel()
	if r.lease.Grow(ctx, memorybudget.Small, int64(r.unpacked.Cap())-r.lease.Held(memorybudget.Small)) != nil {
		return errNoMemory
	}
	return nil
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
		if !r.compact() {
			return nil, r.skipLine()
		}
		searched = r.start + unread
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// skipLine reads and drops the rest of a line for which there is no memory. It returns a *refusedLineError, or the error of reading.
func (r *lineReader) skipLine() error {
	refused := &refusedLineError{start: bytes.Clone(r.buffer[r.start:min(r.end, r.start+refusedStartBytes)])}
	skipped := 0
	for {
		skipped += r.end - r.start
		if skipped >= r.bound {
			return &TooLongError{Bytes: skipped, Bound: r.bound}
		}
		r.start, r.end = 0, 0
		if err := r.fill(); err != nil {
			return unexpectedEOF(err)
		}
		if at := bytes.IndexByte(r.buffer[:r.end], '\n'); at >= 0 {
			r.start = at + 1
			return refused
		}
	}
}

// fill reads once into the free part of the buffer. While a long line is incomplete, the peer must make progress if others need its memory.
func (r *lineReader) fill() error {
	if len(r.buffer) > maxIdleReadBytes {
		r.lease.AwaitCaller(r.giveUp)
		defer r.lease.StopAwaiting()
	}
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

// compact moves the unread bytes to the front of the buffer. It grows a full buffer, or returns false if there is no memory for that, and
// replaces an empty one that a long line has grown by a small one.
func (r *lineReader) compact() bool {
	unread := r.buffer[r.start:r.end]
	switch {
	case len(unread) == 0 && len(r.buffer) > maxIdleReadBytes:
		r.buffer = make([]byte, initialReadBytes)
		r.lease.ShrinkTo(memorybudget.Lines, 0)
	case len(unread) == len(r.buffer):
		size := grownBuffer(len(r.buffer))
		if size > maxIdleReadBytes && !r.lease.TryGrow(memorybudget.Lines, lineCopies*int64(size)-r.lease.Held(memorybudget.Lines)) {
			return false
		}
		grown := make([]byte, size)
		copy(grown, unread)
		r.buffer = grown
	case r.start > 0:
		copy(r.buffer, unread)
	}
	r.start, r.end = 0, len(unread)
	return true
}

// grownBuffer returns the size to which a full buffer grows: twice its size, or half as much again if it is large.
func grownBuffer(size int) int {
	if size < largeReadBytes {
		return 2 * size
	}
	return size + size/2
}

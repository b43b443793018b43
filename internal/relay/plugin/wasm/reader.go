package wasm

import "encoding/binary"

// Maximum lengths in bytes of numbers of 32 and 64 bits in LEB128.
const (
	maxLEB32 = 5
	maxLEB64 = 10
)

// span is a part of a module.
type span struct {
	data   []byte
	offset int // of data, in bytes from the beginning of the module
}

// reader decodes a span. After the first error, which it keeps, all reads return zero values.
type reader struct {
	span
	section Section // for errors
	pos     int     // index of the next byte in the span
	err     error
}

// fail records an error unless there has been one.
func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// failParse records a ParseError at the current position.
func (r *reader) failParse(reason string) {
	r.fail(&ParseError{Section: r.section, Offset: r.offset + r.pos, Reason: reason})
}

// failCode records a CodeError at a position in the span.
func (r *reader) failCode(pos int, reason string) {
	r.fail(&CodeError{Offset: r.offset + pos, Reason: reason})
}

func (r *reader) failTruncated() { r.failParse("unexpected end or invalid number") }

// done reports whether the whole span has been read.
func (r *reader) done() bool { return r.pos >= len(r.data) }

func (r *reader) byte() byte {
	if r.err != nil || r.done() {
		r.failTruncated()
		return 0
	}
	r.pos++
	return r.data[r.pos-1]
}

// u32 reads an unsigned 32-bit number in LEB128.
func (r *reader) u32() uint32 {
	value, size := binary.Uvarint(r.data[min(r.pos, len(r.data)):])
	if r.err != nil || size <= 0 || size > maxLEB32 || value > 1<<32-1 {
		r.failTruncated()
		return 0
	}
	r.pos += size
	return uint32(value)
}

// skipSigned skips a signed number in LEB128 of at most maxSize bytes.
func (r *reader) skipSigned(maxSize int) {
	for range maxSize {
		if r.byte() < 0x80 {
			return
		}
	}
	r.failParse("a number is too long")
}

// take returns the next size bytes.
func (r *reader) take(size uint32) []byte {
	if r.err != nil || uint64(size) > uint64(len(r.data)-r.pos) {
		r.failTruncated()
		return nil
	}
	r.pos += int(size)
	return r.data[r.pos-int(size) : r.pos]
}

// vector reads a vector of bytes, which is preceded by its size.
func (r *reader) vector() span {
	size := r.u32()
	offset := r.offset + r.pos
	return span{r.take(size), offset}
}

// skipLimits skips the limits of a memory or a table.
func (r *reader) skipLimits() {
	const hasMax = 1
	flags := r.byte()
	r.u32()
	if flags&hasMax != 0 {
		r.u32()
	}
}

// appendSigned appends a signed number in LEB128.
func appendSigned(b []byte, v int64) []byte {
	for {
		group := byte(v & 0x7f)
		v >>= 7
		if v == 0 && group&0x40 == 0 || v == -1 && group&0x40 != 0 {
			return append(b, group)
		}
		b = append(b, group|0x80)
	}
}

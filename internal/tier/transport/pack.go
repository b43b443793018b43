package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"

	"github.com/klauspost/compress/flate"
)

// Bounds of packing, in bytes. Lines between two machines resemble each other and contain binary data as base64, so that compression
// about halves their size.
const (
	minPackBytes    = 96        // shorter batches are not packed
	maxPackBytes    = 512 << 10 // longer batches are not packed either: compressing them would occupy a small machine for too long
	dictionaryBytes = 3 << 10   // of the preset dictionary; with a longer one the extra time outweighs the bytes saved
)

// Every packed batch is a complete deflate stream whose dictionary is the text of the batches before. A compressor per connection
// would take a hundred times the memory.
const (
	packedPrefix = `{"packed":` // followed by the length in bytes of the stream after the line
	packedSuffix = "}"
)

// Errors of packed lines, after which the connection must be closed. Both wrap ErrBadLine.
var (
	errPackedLength = fmt.Errorf("%w: packed lines have no valid length, want a positive number within the limit", ErrBadLine)
	errPackedEnd    = fmt.Errorf("%w: packed lines do not end with a line feed at the end of their stream", ErrBadLine)
)

// dictionary is the end of the text packed in one direction of a connection. Both sides must have the same dictionary.
type dictionary []byte

// add appends a text and keeps only the last dictionaryBytes.
func (d *dictionary) add(text []byte) {
	if len(text) >= dictionaryBytes {
		*d = append((*d)[:0], text[len(text)-dictionaryBytes:]...)
		return
	}
	if over := len(*d) + len(text) - dictionaryBytes; over > 0 {
		*d = append((*d)[:0], (*d)[over:]...)
	}
	*d = append(*d, text...)
}

// packer packs the lines sent on one connection.
type packer struct {
	dictionary dictionary
}

// pack appends lines to a buffer, packed if that is shorter. Only packed lines are added to the dictionary.
func (p *packer) pack(into *bytes.Buffer, lines []byte) error {
	if len(lines) < minPackBytes || len(lines) > maxPackBytes {
		into.Write(lines)
		return nil
	}
	packed := batches.Get().(*bytes.Buffer)
	defer batches.Put(packed)
	packed.Reset()
	if err := compress(packed, lines, p.dictionary); err != nil {
		return err
	}
	if packed.Len() >= len(lines) {
		into.Write(lines)
		return nil
	}
	p.dictionary.add(lines)
	into.WriteString(packedPrefix)
	into.Write(strconv.AppendInt(into.AvailableBuffer(), int64(packed.Len()), 10))
	into.WriteString(packedSuffix + "\n")
	into.Write(packed.Bytes())
	return nil
}

// minSaving is the fraction that the stateless compressor must save. It stores text without repetitions uncompressed, even base64, of
// which each byte carries six bits; a Huffman code saves the other two.
const minSaving = 1.0 / 8

// compress writes a deflate stream that uses the dictionary or, if that saves too little, one that only uses a Huffman code.
func compress(into *bytes.Buffer, lines, dictionary []byte) error {
	if err := flate.StatelessDeflate(into, lines, true, dictionary); err != nil {
		return err
	}
	if float64(into.Len()) <= (1-minSaving)*float64(len(lines)) {
		return nil
	}
	into.Reset()
	writer := huffmanWriters.Get().(*flate.Writer)
	defer huffmanWriters.Put(writer)
	writer.Reset(into)
	if _, err := writer.Write(lines); err != nil {
		return err
	}
	return writer.Close()
}

// huffmanWriters pools compressors that only use a Huffman code and do not search for repetitions.
var huffmanWriters = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // unreachable: the level is valid
	}
	return writer
}}

// inflater is a pooled decompressor.
type inflater struct {
	source bytes.Reader
	reader io.ReadCloser
	bound  io.LimitedReader
}

// inflaters pools decompressors, as each has a window of 32 KiB.
var inflaters = sync.Pool{New: func() any {
	i := new(inflater)
	i.reader = flate.NewReader(&i.source)
	return i
}}

// unpacker unpacks the lines of one connection.
type unpacker struct {
	dictionary dictionary
}

// unpack appends the unpacked lines, of up to bound bytes, to a buffer. After an error the connection must be closed, as the
// dictionaries of both sides differ.
func (u *unpacker) unpack(into *bytes.Buffer, packed []byte, bound int) error {
	i := inflaters.Get().(*inflater)
	defer inflaters.Put(i)
	i.source.Reset(packed)
	if err := i.reader.(flate.Resetter).Reset(&i.source, u.dictionary); err != nil {
		return err
	}
	i.bound = io.LimitedReader{R: i.reader, N: int64(bound) + 1}
	if _, err := into.ReadFrom(&i.bound); err != nil {
		return fmt.Errorf("%w: packed lines: %w", ErrBadLine, err)
	}
	text := into.Bytes()
	if len(text) > bound {
		return &TooLongError{Bytes: len(text), Bound: bound}
	}
	if i.source.Len() > 0 || !bytes.HasSuffix(text, []byte("\n")) {
		return errPackedEnd
	}
	u.dictionary.add(text)
	return nil
}

// packedLength parses the line that announces packed lines; isPacked is false for any other line. The error is ErrBadLine.
func packedLength(text []byte) (length int, isPacked bool, err error) {
	rest, isPacked := bytes.CutPrefix(text, []byte(packedPrefix))
	if !isPacked {
		return 0, false, nil
	}
	digits, ended := bytes.CutSuffix(rest, []byte(packedSuffix))
	length, err = strconv.Atoi(string(digits))
	if err != nil || !ended || length <= 0 || length > maxPackBytes {
		return 0, true, errPackedLength
	}
	return length, true, nil
}

// isSameMachine reports whether both ends of a connection have the same IP address.
func isSameMachine(socket net.Conn) bool {
	local, err := hostOf(socket.LocalAddr())
	remote, remoteErr := hostOf(socket.RemoteAddr())
	return errors.Join(err, remoteErr) == nil && local == remote
}

// hostOf returns the host of an address without the port.
func hostOf(address net.Addr) (string, error) {
	if address == nil {
		return "", net.ErrClosed
	}
	host, _, err := net.SplitHostPort(address.String())
	return host, err
}

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

// Bounds of packing. What two sides say to each other is much alike from line to line, and the bytes that it holds stand
// there as text: compressed, lines between machines take about half.
const (
	packFrom     = 96        // bytes of lines from which on they are packed
	packMost     = 512 << 10 // up to which they are: beyond, it would keep a small machine busy for long
	historyBytes = 3 << 10   // of the last lines that one direction of a connection goes on from; a longer one costs more than it saves
)

// Every batch of lines is compressed by itself, going on from the text of the last ones: a compressor of its own for each
// connection would take a hundred times the memory.
const (
	packedPrefix = `{"packed":` // then the number of bytes that follow the line
	packedSuffix = "}"
)

var (
	errPackedLength = fmt.Errorf("%w: packed lines without their length", ErrBadLine)
	errPackedEnd    = fmt.Errorf("%w: packed lines don't end with a line", ErrBadLine)
)

// history is the text of the last packed lines of one direction of a connection.
type history []byte

func (h *history) add(text []byte) {
	if len(text) >= historyBytes {
		*h = append((*h)[:0], text[len(text)-historyBytes:]...)
		return
	}
	if over := len(*h) + len(text) - historyBytes; over > 0 {
		*h = append((*h)[:0], (*h)[over:]...)
	}
	*h = append(*h, text...)
}

// packer packs the lines that go out on one connection.
type packer struct {
	history history
}

// pack appends lines to a buffer, packed if that is shorter.
func (p *packer) pack(into *bytes.Buffer, lines []byte) error {
	if len(lines) < packFrom || len(lines) > packMost {
		into.Write(lines)
		return nil
	}
	packed := batches.Get().(*bytes.Buffer)
	defer batches.Put(packed)
	packed.Reset()
	if err := compress(packed, lines, p.history); err != nil {
		return err
	}
	if packed.Len() >= len(lines) {
		into.Write(lines)
		return nil
	}
	p.history.add(lines)
	into.WriteString(packedPrefix)
	into.Write(strconv.AppendInt(into.AvailableBuffer(), int64(packed.Len()), 10))
	into.WriteString(packedSuffix + "\n")
	into.Write(packed.Bytes())
	return nil
}

// littleGain is the part that a compressor must save at least. Where nothing is repeated the stateless one stores text as it
// is, and so with it the bytes that stand in it at six bits for each eight: a code for single letters saves these.
const littleGain = 1.0 / 8

// compress appends a deflate stream that goes on from the history, if that helps.
func compress(into *bytes.Buffer, lines, history []byte) error {
	if err := flate.StatelessDeflate(into, lines, true, history); err != nil {
		return err
	}
	if float64(into.Len()) <= (1-littleGain)*float64(len(lines)) {
		return nil
	}
	into.Reset()
	coder := letterCoders.Get().(*flate.Writer)
	defer letterCoders.Put(coder)
	coder.Reset(into)
	if _, err := coder.Write(lines); err != nil {
		return err
	}
	return coder.Close()
}

// letterCoders holds compressors that look for nothing that is repeated.
var letterCoders = sync.Pool{New: func() any {
	coder, err := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	if err != nil {
		panic(err) // the level is a known one
	}
	return coder
}}

// inflater is a decompressor in a pool.
type inflater struct {
	source bytes.Reader
	reader io.ReadCloser
	bound  io.LimitedReader
}

var inflaters = sync.Pool{New: func() any {
	i := new(inflater)
	i.reader = flate.NewReader(&i.source)
	return i
}}

// unpacker takes apart what a packer has packed.
type unpacker struct {
	history history
}

// unpack appends the lines to a buffer. An error means that the connection is of no use any more.
func (u *unpacker) unpack(into *bytes.Buffer, packed []byte, bound int) error {
	i := inflaters.Get().(*inflater)
	defer inflaters.Put(i)
	i.source.Reset(packed)
	if err := i.reader.(flate.Resetter).Reset(&i.source, u.history); err != nil {
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
	u.history.add(text)
	return nil
}

// packedLength reads the line before packed lines; false: it is another line.
func packedLength(text []byte) (length int, isPacked bool, err error) {
	rest, isPacked := bytes.CutPrefix(text, []byte(packedPrefix))
	if !isPacked {
		return 0, false, nil
	}
	digits, ended := bytes.CutSuffix(rest, []byte(packedSuffix))
	length, err = strconv.Atoi(string(digits))
	if err != nil || !ended || length <= 0 || length > packMost {
		return 0, true, errPackedLength
	}
	return length, true, nil
}

// isLocal tells whether both ends of a connection are on one machine.
func isLocal(socket net.Conn) bool {
	local, err := hostOf(socket.LocalAddr())
	remote, remoteErr := hostOf(socket.RemoteAddr())
	return errors.Join(err, remoteErr) == nil && local == remote
}

func hostOf(address net.Addr) (string, error) {
	if address == nil {
		return "", net.ErrClosed
	}
	host, _, err := net.SplitHostPort(address.String())
	return host, err
}

package transport

import (
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// noticeOf returns a typical line with random, incompressible content.
func noticeOf(number, bytes int) []byte {
	content := make([]byte, bytes)
	random := rand.NewChaCha8([32]byte{byte(number), byte(number >> 8)})
	_, _ = random.Read(content)
	return fmt.Appendf(nil, `{"notice":0,"method":"replica","body":{"index":%d,"input":"%s"}}`+"\n", number, base64.StdEncoding.EncodeToString(content))
}

// Given any batches of lines, when they are packed one after the other, then the reader returns every line, however the bytes are
// split.
func TestPacker_AnyBatches_ReaderGivesEveryLine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p packer
		var wire bytes.Buffer
		var want [][]byte
		for range rapid.IntRange(1, 8).Draw(t, "batches") {
			var batch []byte
			for range rapid.IntRange(1, 4).Draw(t, "lines") {
				line := noticeOf(rapid.IntRange(0, 999).Draw(t, "number"), rapid.SampledFrom([]int{0, 3, 900, 9000, 40000}).Draw(t, "bytes"))
				batch = append(batch, line...)
				want = append(want, line[:len(line)-1])
			}
			if err := p.pack(&wire, batch); err != nil {
				t.Fatal(err)
			}
		}
		var source io.Reader = bytes.NewReader(wire.Bytes())
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		reader := newLineReader(source, MaxLineBytes)
		for i, line := range want {
			got, err := reader.next()
			if err != nil || !bytes.Equal(got, line) {
				t.Fatalf("line %d: %.60q, %v, want %.60q", i, got, err, line)
			}
		}
		if _, err := reader.next(); err != io.EOF {
			t.Fatalf("error %v after the last line, want EOF", err)
		}
	})
}

func TestPacker_UsualLines_AreShorter(t *testing.T) {
	for _, c := range []struct {
		bytes, lines int
		maxShare     float64 // packed size as a fraction of the plain size
	}{{0, 4, 0.3}, {300, 1, 0.85}, {900, 1, 0.8}, {9000, 1, 0.8}, {20000, 1, 0.8}, {90000, 1, 0.8}} {
		var p packer
		var wire bytes.Buffer
		plain := 0
		for number := range 50 {
			line := bytes.Repeat(noticeOf(number, c.bytes), c.lines)
			plain += len(line)
			if err := p.pack(&wire, line); err != nil {
				t.Fatal(err)
			}
		}
		if share := float64(wire.Len()) / float64(plain); share > c.maxShare {
			t.Errorf("lines with %d bytes are packed to %.2f of their size, want at most %.2f", c.bytes, share, c.maxShare)
		}
	}
}

func TestPacker_LongLines_AreNotPacked(t *testing.T) {
	line := append(bytes.Repeat([]byte("x"), maxPackBytes), '\n')
	var p packer
	var wire bytes.Buffer
	if err := p.pack(&wire, line); err != nil || !bytes.Equal(wire.Bytes(), line) {
		t.Errorf("a long line of %d bytes was written as %d bytes, error %v; want it unchanged", len(line), wire.Len(), err)
	}
}

// packedBy returns lines as a new packer packs them.
func packedBy(t testing.TB, lines []byte) []byte {
	var p packer
	var wire bytes.Buffer
	if err := p.pack(&wire, lines); err != nil {
		t.Fatal(err)
	}
	return wire.Bytes()
}

func TestUnpacker_DamagedLines_Fail(t *testing.T) {
	line := noticeOf(1, 900)
	packed := packedBy(t, line)
	for length := 1; length < len(packed); length++ {
		if got, err := newLineReader(bytes.NewReader(packed[:length]), MaxLineBytes).next(); err != io.ErrUnexpectedEOF {
			t.Fatalf("truncated to %d of %d bytes: %.40q, %v", length, len(packed), got, err)
		}
	}
	open := packedBy(t, bytes.Repeat([]byte("{}"), 200))
	for name, text := range map[string][]byte{
		"no length": []byte("{\"packed\":}\n"), "length 0": []byte("{\"packed\":0}\n"), "a negative length": []byte("{\"packed\":-1}\n"),
		"too long": []byte("{\"packed\":99999999}\n"), "no closing brace": []byte("{\"packed\":7\n"), "no deflate stream": []byte("{\"packed\":3}\n\xff\xff\xff"),
		"no line feed": open, "bytes after the stream": append([]byte(fmt.Sprintf("{\"packed\":%d}\n", len(packed)-bytes.IndexByte(packed, '\n'))), append(packed[bytes.IndexByte(packed, '\n')+1:], 0)...),
	} {
		if _, err := newLineReader(bytes.NewReader(text), MaxLineBytes).next(); !errors.Is(err, ErrBadLine) {
			t.Errorf("%s: %v", name, err)
		}
	}
	var tooLong *TooLongError
	if _, err := newLineReader(bytes.NewReader(packedBy(t, bytes.Repeat([]byte("0\n"), 50000))), 1000).next(); !errors.As(err, &tooLong) {
		t.Errorf("lines over the bound: %v", err)
	}
}

func FuzzUnpack(f *testing.F) {
	packed := packedBy(f, noticeOf(1, 90))
	f.Add(packed[bytes.IndexByte(packed, '\n')+1:])
	f.Fuzz(func(t *testing.T, packed []byte) {
		var u unpacker
		var lines bytes.Buffer
		if err := u.unpack(&lines, packed, 1<<16); err == nil && !bytes.HasSuffix(lines.Bytes(), []byte("\n")) {
			t.Errorf("unpacked %q, want a line feed at the end", lines.Bytes())
		}
	})
}

// addressedConn is a connection whose ends have the addresses of two machines, or of one.
type addressedConn struct {
	net.Conn
	from, to byte
}

func (b addressedConn) LocalAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, b.from), Port: 7}
}
func (b addressedConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(10, 0, 0, b.to), Port: 8}
}

func TestOutbox_LinesBetweenMachinesOnly_ArePacked(t *testing.T) {
	for _, packed := range []bool{false, true} {
		near, end := net.Pipe()
		socket := addressedConn{Conn: near, from: 1, to: 1}
		if packed {
			socket.to = 2
		}
		box := outbox{limits: defaultLimits(), running: new(sync.WaitGroup), onWriteError: func(error) {}}
		box.start(socket)
		box.pushNotice(&frame{line: bytes.NewBuffer(noticeOf(1, 900))})
		got := make([]byte, len(packedPrefix))
		if _, err := io.ReadFull(end, got); err != nil {
			t.Fatal(err)
		}
		if isPacked := string(got) == packedPrefix; isPacked != packed {
			t.Errorf("lines from %v to %v are packed or not contrary to the rule; they start with %q", socket.LocalAddr(), socket.RemoteAddr(), got)
		}
		end.Close()
		near.Close()
	}
}

func BenchmarkPack(b *testing.B) {
	for _, size := range []int{0, 900, 9000} {
		b.Run(fmt.Sprintf("%d bytes", size), func(b *testing.B) {
			var p packer
			var wire bytes.Buffer
			line := noticeOf(1, size)
			b.SetBytes(int64(len(line)))
			for b.Loop() {
				wire.Reset()
				if err := p.pack(&wire, line); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

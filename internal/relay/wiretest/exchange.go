package wiretest

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// timeout bounds a run whose peer hangs. A passing test must not depend on it.
const timeout = 20 * time.Second

// Run runs the recording in file over conn, and reports each difference between what the peer sends and the recording as an error of
// the test. vars alternates names in braces and values, as for strings.NewReplacer. Run leaves conn open. An exchange that takes longer
// than timeout fails.
func Run(t testing.TB, conn net.Conn, file string, vars ...string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	e := &exchange{conn: conn, reader: bufio.NewReader(conn)}
	if line, err := e.run(strings.Split(strings.NewReplacer(vars...).Replace(string(text)), "\n")); err != nil {
		t.Errorf("%s: at %q: %v", file, line, err)
	}
	if diff := cmp.Diff(e.want, e.got); diff != "" {
		t.Errorf("%s: (-want +got)\n%s", file, diff)
	}
}

// exchange is the run of one recording.
type exchange struct {
	conn   net.Conn
	reader *bufio.Reader
	// unsent collects consecutive lines, which must be sent in one write: the peer may close before it has read all of them.
	unsent    []byte
	want, got []string
}

// run runs the lines up to the first error of the connection, and returns the line at which it occurred; empty: after the last line.
func (e *exchange) run(lines []string) (line string, err error) {
	for _, line := range lines {
		direction, text, _ := strings.Cut(line, " ")
		switch direction {
		case ">":
			e.queue(text)
		case "<":
			if err := e.flush(); err != nil {
				return line, err
			}
			if err := e.expect(text); err != nil {
				return line, err
			}
		}
	}
	return "", e.flush()
}

// queue adds a line to the next write.
func (e *exchange) queue(text string) {
	if unterminated, ok := strings.CutSuffix(text, `\`); ok {
		e.unsent = append(e.unsent, unterminated...)
		return
	}
	e.unsent = append(append(e.unsent, text...), "\r\n"...)
}

// flush writes the queued lines.
func (e *exchange) flush() (err error) {
	if len(e.unsent) > 0 {
		_, err = e.conn.Write(e.unsent)
		e.unsent = e.unsent[:0]
	}
	return err
}

// expect reads as much as text describes, and adds text to want and the bytes read to got; text itself if {*} matches them.
func (e *exchange) expect(text string) (err error) {
	if text == "EOF" {
		e.want = append(e.want, text)
		if _, readErr := e.reader.ReadByte(); readErr == io.EOF {
			e.got = append(e.got, text)
		}
		return nil
	}
	if unterminated, ok := strings.CutSuffix(text, `\`); ok {
		received := make([]byte, len(unterminated))
		_, err = io.ReadFull(e.reader, received)
		e.want, e.got = append(e.want, unterminated), append(e.got, string(received))
		return err
	}
	received, err := e.reader.ReadString('\n')
	received = strings.TrimRight(received, "\r\n")
	if prefix, ok := strings.CutSuffix(text, "{*}"); ok && strings.HasPrefix(received, prefix) {
		received = text
	}
	e.want, e.got = append(e.want, text), append(e.got, received)
	return err
}

// Dial connects to address; the connection is closed at the end of the test.
func Dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Listen opens a listener on loopback, which is closed at the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

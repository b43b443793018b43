// Package wiretest plays recorded byte exchanges against a connection. It is the one helper of the tests of
// all wires.
//
// A recording is a text file. A line after "> " is sent, one after "< " has to come back, each with CR LF at
// its end, or with nothing if it ends with a backslash. "< EOF" wants the other side to close. {name} stands
// for a value that the test gives, and {*} at the end of a line that has to come back for whatever comes there.
// Other lines are comments.
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

// patience only bounds a test that would hang; no verdict rests on it.
const patience = 20 * time.Second

// Play plays the recording in file over conn and reports where the two differ.
func Play(t testing.TB, conn net.Conn, file string, vars ...string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	in := bufio.NewReader(conn)
	var want, got []string
	// What is said in one go is written in one: the other side may close as soon as it has seen enough of it.
	var said []byte
	say := func() (err error) {
		if len(said) > 0 {
			_, err = conn.Write(said)
			said = said[:0]
		}
		return err
	}
	for _, line := range strings.Split(strings.NewReplacer(vars...).Replace(string(text)), "\n") {
		mark, rest, _ := strings.Cut(line, " ")
		body, open := strings.CutSuffix(rest, `\`)
		switch {
		case mark == ">" && open:
			said = append(said, body...)
			continue
		case mark == ">":
			said = append(append(said, rest...), "\r\n"...)
			continue
		case mark != "<":
			continue
		}
		if err = say(); err != nil {
			t.Errorf("%s: before %q: %v", file, line, err)
			break
		}
		switch {
		case rest == "EOF":
			want = append(want, rest)
			if _, e := in.ReadByte(); e == io.EOF {
				got = append(got, rest)
			}
		case open:
			b := make([]byte, len(body))
			_, err = io.ReadFull(in, b)
			want, got = append(want, body), append(got, string(b))
		default:
			var s string
			s, err = in.ReadString('\n')
			s = strings.TrimRight(s, "\r\n")
			if head, ok := strings.CutSuffix(rest, "{*}"); ok && strings.HasPrefix(s, head) {
				s = rest
			}
			want, got = append(want, rest), append(got, s)
		}
		if err != nil {
			t.Errorf("%s: at %q: %v", file, line, err)
			break
		}
	}
	if err == nil {
		if err = say(); err != nil {
			t.Errorf("%s: at its end: %v", file, err)
		}
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("%s: (-want +got)\n%s", file, d)
	}
}

// Dial connects to address for the time of the test.
func Dial(t testing.TB, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Listen opens a listener on loopback for the time of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

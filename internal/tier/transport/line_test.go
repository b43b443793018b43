package transport

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestParseLine(t *testing.T) {
	cases := []struct {
		name string
		text string
		want line
		err  error
	}{
		{name: "a call", text: `{"call":7,"method":"view.get","body":{"a":1}}`,
			want: line{kind: callLine, id: 7, method: []byte("view.get"), body: []byte(`{"a":1}`)}},
		{name: "an answer", text: `{"answer":7,"body":[]}`, want: line{kind: answerLine, id: 7, body: []byte(`[]`)}},
		{name: "a cancel without a body", text: `{"cancel":12}`, want: line{kind: cancelLine, id: 12}},
		{name: "nothing", text: ``, err: ErrBadLine},
		{name: "no object", text: `hello`, err: ErrBadLine},
		{name: "an unknown kind", text: `{"shout":7}`, err: ErrBadLine},
		{name: "no number", text: `{"call":"7"}`, err: ErrBadLine},
		{name: "a number that overflows", text: `{"call":99999999999999999999}`, err: ErrBadLine},
		{name: "an empty method", text: `{"call":7,"method":""}`, err: ErrBadLine},
		{name: "an unterminated method", text: `{"call":7,"method":"x}`, err: ErrBadLine},
		{name: "an unknown key", text: `{"call":7,"more":1}`, err: ErrBadLine},
		{name: "no closing brace", text: `{"call":7`, err: ErrBadLine},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseLine([]byte(c.text))
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if diff := cmp.Diff(c.want, got, cmp.AllowUnexported(line{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLine_EncodedThenParsed_IsTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom(lineKinds).Draw(t, "kind")
		id := rapid.Uint64Range(0, 1<<59).Draw(t, "id")
		method := rapid.StringMatching(`[a-z.]{0,12}`).Draw(t, "method")
		body := rapid.MapOf(rapid.String(), rapid.String()).Draw(t, "body")
		buffer, err := encodeLine(kind, id, method, body, MaxLineBytes)
		if err != nil {
			t.Fatal(err)
		}
		text := bytes.Clone(buffer.Bytes())
		if count := bytes.Count(text, []byte("\n")); count != 1 {
			t.Fatalf("%d line feeds in %q", count, text)
		}
		got, err := parseLine(text[:len(text)-1])
		if err != nil {
			t.Fatal(err)
		}
		var gotBody map[string]string
		if err := json.Unmarshal(got.body, &gotBody); err != nil {
			t.Fatal(err)
		}
		wantBody := map[string]string{}
		plain, _ := json.Marshal(body) // encoding changes strings that are not UTF-8
		if err := json.Unmarshal(plain, &wantBody); err != nil {
			t.Fatal(err)
		}
		if got.kind != kind || got.id != id || string(got.method) != method || !cmp.Equal(gotBody, wantBody) {
			t.Fatalf("%s %d %s %v differs after encoding as %s", kind, id, method, body, text)
		}
	})
}

func TestParseLine_AnyBytes_DoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		if rapid.Bool().Draw(t, "nearly right") {
			text = append([]byte(`{"call":7,"method":`), text...)
		}
		if _, err := parseLine(text); err != nil && !errors.Is(err, ErrBadLine) {
			t.Fatal(err)
		}
	})
}

func TestEncodeLine_OverTheBound_Fails(t *testing.T) {
	_, err := encodeLine(callLine, 1, "m", "0123456789", 20)
	var tooLong *TooLongError
	if !errors.As(err, &tooLong) || tooLong.Bound != 20 {
		t.Fatalf("error %v, want a TooLongError with bound 20", err)
	}
}

func TestLineReader_AnyChunks_GivesTheLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lengths := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(0, 5), rapid.IntRange(0, 9000)), 0, 8).Draw(t, "lengths")
		var lines []string
		var sent bytes.Buffer
		for i, length := range lengths {
			lines = append(lines, strings.Repeat(string(rune('a'+i)), length))
			sent.WriteString(lines[i] + "\n")
		}
		var source io.Reader = &sent
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		reader := newLineReader(source, 9001)
		for _, want := range lines {
			got, err := reader.next()
			if err != nil || string(got) != want {
				t.Fatalf("got %d bytes and %v, want %d bytes", len(got), err, len(want))
			}
		}
		if _, err := reader.next(); err != io.EOF {
			t.Fatalf("error %v after the last line, want EOF", err)
		}
	})
}

func TestLineReader_LineOverTheBound_Fails(t *testing.T) {
	cases := []struct {
		name string
		text string
		want error
	}{
		{name: "half a line at the end", text: "abc", want: io.ErrUnexpectedEOF},
		{name: "a line over the bound", text: "0123456789\n", want: &TooLongError{Bytes: 11, Bound: 10}},
		{name: "no line feed at all", text: "0123456789ABC", want: &TooLongError{Bytes: 13, Bound: 10}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newLineReader(bytes.NewBufferString(c.text), 10).next()
			if err == nil || err.Error() != c.want.Error() {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestLineReader_AfterALongLine_ReleasesTheBuffer(t *testing.T) {
	text := append(bytes.Repeat([]byte("x"), 1<<20), '\n')
	reader := newLineReader(io.MultiReader(bytes.NewReader(text), bytes.NewBufferString("y\n")), MaxLineBytes)
	for range 2 {
		if _, err := reader.next(); err != nil {
			t.Fatal(err)
		}
	}
	if len(reader.buffer) != initialReadBytes {
		t.Errorf("buffer of %d bytes is kept, want initialReadBytes", len(reader.buffer))
	}
}

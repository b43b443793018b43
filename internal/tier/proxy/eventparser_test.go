package proxy

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// parseResult is the result of parsing a stream.
type parseResult struct {
	Forwarded, Output, LastID string
	Count                     int64
}

func parseAll(chunks ...string) parseResult {
	var sent transcript
	parser := newEventParser(&sent, true)
	var forwarded strings.Builder
	add := func(batch eventBatch) {
		forwarded.Write(batch.bytes)
		sent.add(&batch)
	}
	for _, chunk := range chunks {
		add(parser.feed([]byte(chunk)))
	}
	add(parser.finish())
	return parseResult{forwarded.String(), string(sent.output), sent.lastID, sent.count}
}

func TestEventParser_Streams_CountsEventsAndIDs(t *testing.T) {
	cases := []struct {
		name   string
		stream string
		want   parseResult
	}{
		{"an empty stream", "", parseResult{}},
		{"one event", "id: 7\ndata: a b\n\n", parseResult{Output: "a b\n", LastID: "7", Count: 1}},
		{"several lines of data", "data: a\ndata:b\ndata:  c\ndata\n\n", parseResult{Output: "a\nb\n c\n\n", Count: 1}},
		{"lines that end in CRLF", "id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", parseResult{Output: "a\nb\n", LastID: "1", Count: 2}},
		{"comments and other fields", ": hello\n\nversions: 3\nid: 2\nevent: x\ndata: a\n\nretry: 5\n\n",
			parseResult{Output: "a\n", LastID: "2", Count: 1}},
		{"no blank line at the end", "data: a\n\nid: 3\ndata: b", parseResult{Output: "a\nb\n", LastID: "3", Count: 2}},
		{"one line feed at the end", "data: a\n\ndata: b\n", parseResult{Output: "a\nb\n", Count: 2}},
		{"longest id", "id: " + strings.Repeat("i", maxEventIDBytes) + "\ndata: a\n\n",
			parseResult{Output: "a\n", LastID: strings.Repeat("i", maxEventIDBytes), Count: 1}},
		{"id that is too long", "id: 1\ndata: a\n\nid: " + strings.Repeat("i", maxEventIDBytes+1) + "\ndata: b\n\n",
			parseResult{Output: "a\nb\n", LastID: "1", Count: 2}},
		{"id after one that is too long", "id: " + strings.Repeat("i", maxEventIDBytes+1) + "\nid: 2\ndata: b\n\n",
			parseResult{Output: "b\n", LastID: "2", Count: 1}},
		{"blank lines", "\n\n\ndata: a\n\n\n", parseResult{Output: "a\n", Count: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.want.Forwarded = test.stream
			if diff := cmp.Diff(test.want, parseAll(test.stream)); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}

func TestEventParser_AnySplit_SameResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"", "", "id: 1", "id: 22", "data: x", "data:", "data: yy zz", ": c", "event: e", "\r"})).Draw(t, "lines")
		stream := strings.Join(lines, "\n")
		var chunks []string
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			chunks = append(chunks, rest[:n])
			rest = rest[n:]
		}
		want := parseAll(stream)
		if want.Forwarded != stream {
			t.Fatalf("forwarded %q of %q", want.Forwarded, stream)
		}
		if diff := cmp.Diff(want, parseAll(chunks...)); diff != "" {
			t.Fatalf("%q (-whole +split):\n%s", chunks, diff)
		}
	})
}

func TestEventParser_Feed_ReturnsCompleteEventsOnly(t *testing.T) {
	var sent transcript
	parser := newEventParser(&sent, false)
	steps := []struct{ chunk, forwarded string }{
		{"id: 1\n", ""},
		{"data: a\n", ""},
		{"\nid: 2\nda", "id: 1\ndata: a\n\n"},
		{"ta: b\n\n", "id: 2\ndata: b\n\n"},
		{"id: 3\ndata: c\n\nid: 4", "id: 3\ndata: c\n\n"},
	}
	for _, step := range steps {
		batch := parser.feed([]byte(step.chunk))
		if got := string(batch.bytes); got != step.forwarded {
			t.Errorf("after %q forwarded %q, want %q", step.chunk, got, step.forwarded)
		}
		sent.add(&batch)
	}
	parser = newEventParser(&sent, false)
	batch := parser.feed([]byte("id: 4\ndata: d\n\n"))
	sent.add(&batch)
	if got := string(batch.bytes); got != "id: 4\ndata: d\n\n" || sent.count != 4 || sent.lastID != "4" {
		t.Errorf("the next attempt's parser forwarded %q", got)
	}
}

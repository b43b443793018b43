package transport

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// wireLines lists the lines that an earlier version wrote to testdata: all kinds, with and without a body.
var wireLines = []struct {
	kind   lineKind
	id     uint64
	method string
	body   any
}{
	{callLine, 7, "view.get", map[string]any{"text": "<a> & \"b\"\n"}},
	{streamLine, 8, "view.watch", map[string]any{"from": 3}},
	{noticeLine, 0, "view.offer", []int{1, 2}},
	{cancelLine, 7, "", nil},
	{answerLine, 7, "", map[string]any{"text": "é"}},
	{answerLine, 9, "", nil},
	{errorLine, 7, "", &RemoteError{Kind: KindInternal, Message: "boom"}},
	{errorLine, 7, "", &RemoteError{Kind: KindUnknownMethod, Message: "boom"}},
	{errorLine, 7, "", &RemoteError{Kind: KindBadRequest, Message: "boom"}},
	{errorLine, 7, "", &RemoteError{Kind: KindBusy, Message: "boom"}},
	{errorLine, 7, "", &RemoteError{Kind: KindTooLong, Message: "boom"}},
	{itemLine, 8, "", map[string]any{"section": "placement"}},
	{endLine, 8, "", nil},
}

// TestWireFormat_LinesOfEarlierVersions_ReadAndWrittenAsTheyWere compares every kind of line with the bytes that an earlier version
// wrote, as processes of both versions run side by side during an upgrade.
func TestWireFormat_LinesOfEarlierVersions_ReadAndWrittenAsTheyWere(t *testing.T) {
	t.Parallel()
	golden := readGolden(t, "lines.jsonl")
	reader := newLineReader(bytes.NewReader(golden), MaxLineBytes)
	var written bytes.Buffer
	for _, want := range wireLines {
		encoded, err := encodeLine(want.kind, want.id, want.method, want.body, MaxLineBytes)
		if err != nil {
			t.Fatal(err)
		}
		written.Write(encoded.Bytes())
		text, err := reader.next()
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := parseLine(text)
		if err != nil {
			t.Fatal(err)
		}
		if parsed.kind != want.kind || parsed.id != want.id || string(parsed.method) != want.method || (parsed.body != nil) != (want.body != nil) {
			t.Errorf("read %v %d %q %q, want %v", parsed.kind, parsed.id, parsed.method, parsed.body, want)
		}
		if remote, ok := want.body.(*RemoteError); ok {
			read := new(RemoteError)
			if err := decode(parsed.body, read); err != nil {
				t.Error(err)
			}
			if difference := cmp.Diff(remote, read); difference != "" {
				t.Error(difference)
			}
		}
	}
	if difference := cmp.Diff(string(golden), written.String()); difference != "" {
		t.Error("written:", difference)
	}
}

// wireBatches returns the batches of lines whose packed form is in testdata. The first is compressed by Huffman coding alone, the
// second by its repeated lines, and the third by references to the earlier batches, which serve as its dictionary. The fourth is too
// short to be packed.
func wireBatches() [][]byte {
	return [][]byte{
		noticeOf(1, 300),
		[]byte(strings.Repeat(`{"notice":0,"method":"replica","body":{"index":7}}`+"\n", 5)),
		[]byte(strings.Repeat(`{"notice":0,"method":"replica","body":{"index":8}}`+"\n", 3)),
		[]byte(`{"cancel":7}` + "\n"),
	}
}

// TestWireFormat_PackedLinesOfEarlierVersions_Read reads packed lines that an earlier version wrote. The output of the compressor is
// not compared, as it may change with the compressor's version; TestPacker_AnyBatches_ReaderGivesEveryLine checks that it is readable.
func TestWireFormat_PackedLinesOfEarlierVersions_Read(t *testing.T) {
	t.Parallel()
	golden := readGolden(t, "packed.bin")
	if count := bytes.Count(golden, []byte(packedPrefix)); count != 3 {
		t.Fatalf("%d packed batches, want 3", count)
	}
	reader := newLineReader(bytes.NewReader(golden), MaxLineBytes)
	for _, line := range bytes.SplitAfter(bytes.Join(wireBatches(), nil), []byte("\n")) {
		if len(line) == 0 {
			continue
		}
		read, err := reader.next()
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(string(line), string(read)+"\n"); difference != "" {
			t.Error(difference)
		}
	}
}

func readGolden(t *testing.T, file string) []byte {
	t.Helper()
	content, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

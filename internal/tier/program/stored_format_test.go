package program

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The files in testdata were written by an earlier version. Commands are stored in logs and chunks in snapshots, and stores of
// different versions exchange both, so their encodings must not change.

// golden reads a file of testdata, without a line feed at its end.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(data, []byte("\n"))
}

// goldenLines decompresses a file of testdata and returns its lines.
func goldenLines(t *testing.T, name string) [][]byte {
	t.Helper()
	decompressor, err := gzip.NewReader(bytes.NewReader(golden(t, name)))
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(decompressor)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Split(bytes.TrimSuffix(data, []byte("\n")), []byte("\n"))
}

// storedEntries holds values of every encoded type, some with all fields set, some with none.
var storedEntries = []struct {
	file  string
	value any
	empty func() any
}{
	{"begin.json", &Command{Begin: &BeginTurn{
		Turn: "turn 2", Program: "program", Budget: 1000, MaxTokens: 100, Remembered: true, Previous: "turn 1", KeepForS: 1.5,
		Input: []byte("input\x00\xff"), Imported: []byte("chain\xfe"), AtMs: startMs,
	}}, func() any { return &Command{} }},
	{"begin-least.json", &Command{Begin: &BeginTurn{}}, func() any { return &Command{} }},
	{"end.json", &Command{End: &EndTurn{Turn: "turn 2", Complete: true, Tokens: 80, Output: []byte("output\x00\xff"), AtMs: startMs + 1}},
		func() any { return &Command{} }},
	{"end-least.json", &Command{End: &EndTurn{}}, func() any { return &Command{} }},
	{"result-taken.json", &Result{Verdict: Accepted, Chain: []byte("chain\xfe")}, func() any { return &Result{} }},
	{"result-budget.json", &Result{Verdict: BudgetExceeded}, func() any { return &Result{} }},
	{"result-missing.json", &Result{Verdict: TurnNotFound}, func() any { return &Result{} }},
	{"result-unknown.json", &Result{Verdict: UnknownTurn}, func() any { return &Result{} }},
	{"chunk.json", &Chunk{
		NowMs: startMs, LastCommandMs: startMs + 1, Index: 2, HasNext: true,
		Continuation: &contentRecord{Input: []byte("input\xff"), Output: []byte("output\xff")},
		Programs:     []programRecord{{Name: "program <é>", Limit: 1000, Spent: 80, Reserved: 120, LastUsedMs: startMs - 1}},
		Turns: []turnRecord{{
			Turn: "turn \"3\"", State: imported, Remembered: true, Program: "program <é>", ReservedTokens: 100, Parent: 1, RetainMs: 60_000, ExpiresAtMs: startMs + 2,
			Input: []byte("in"), Output: []byte("out"),
		}},
	}, func() any { return &Chunk{} }},
}

func TestStoredFormat_ReadsFilesOfEarlierVersions(t *testing.T) {
	for _, test := range storedEntries {
		t.Run(test.file, func(t *testing.T) {
			want := golden(t, test.file)
			read := test.empty()
			if err := json.Unmarshal(want, read); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.value, read, cmp.AllowUnexported(Chunk{})); diff != "" {
				t.Errorf("values (-want +read):\n%s", diff)
			}
			written, err := json.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(written)); diff != "" {
				t.Errorf("bytes (-want +written):\n%s", diff)
			}
			if chunk, ok := test.value.(*Chunk); ok {
				if diff := cmp.Diff(string(want), string(chunk.JSON())); diff != "" {
					t.Errorf("bytes of Chunk.JSON (-want +written):\n%s", diff)
				}
			}
		})
	}
}

// storedMachine returns a machine with a turn in each state, and programs with and without a limit.
func storedMachine() *Machine {
	machine := New()
	machine.Apply(beginImporting("in flight", "elsewhere", "[chain of elsewhere]", "[in 1]"))
	first := beginRemembered("complete", "elsewhere", "[in 2]", 1)
	first.Begin.Program, first.Begin.Budget, first.Begin.MaxTokens = "limited", 1000, 100
	machine.Apply(first)
	machine.Apply(endTurn("complete", true, 80, "[out 2]", 2))
	next := beginRemembered("next", "complete", "[in 3]", 3)
	next.Begin.Program, next.Begin.MaxTokens = "limited", 50
	machine.Apply(next)
	machine.Apply(beginTurn("broken", "free", 0, 10))
	machine.Apply(endTurn("broken", false, 3, "", 4))
	return machine
}

func TestStoredFormat_SnapshotOfEarlierVersion_RestoresSameState(t *testing.T) {
	want := golden(t, "snapshot.json")
	machine := storedMachine()
	if diff := cmp.Diff(string(want), string(machine.Snapshot())); diff != "" {
		t.Errorf("bytes (-want +written):\n%s", diff)
	}
	restored := filled(2)
	if err := restored.Restore(want); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(machine, restored, stateOptions...); diff != "" {
		t.Errorf("state (-want +restored):\n%s", diff)
	}
	if chain, found := restored.Chain("complete"); !found || string(chain) != "[chain of elsewhere][in 2][out 2]" {
		t.Errorf("chain %q, found: %v", chain, found)
	}
	if want := (Stats{Turns: 4, Programs: 2, Bytes: 45}); restored.Stats() != want {
		t.Errorf("stats %+v, want %+v", restored.Stats(), want)
	}
}

func TestStoredFormat_ChunksOfEarlierVersion_RestoreSameState(t *testing.T) {
	// given a file with a chunk per line: one of records, and those of the fragments of a large turn
	stored := goldenLines(t, "chunks.jsonl.gz")
	machine := storedMachine()
	machine.Apply(beginRemembered("large", "", strings.Repeat("i", 150_000), 5))
	machine.Apply(endTurn("large", true, 1, strings.Repeat("o", 50_000), 6))
	// when a machine writes the same state, then the bytes are the same
	written := chunksOf(t, machine)
	if len(written) != len(stored) {
		t.Fatalf("%d chunks, want %d", len(written), len(stored))
	}
	for i := range stored {
		if !bytes.Equal(stored[i], written[i]) {
			t.Errorf("bytes of chunk %d differ from the stored ones", i)
		}
	}
	// and when another one is restored from the file, then its state is the same
	restored := filled(2)
	if err := restoreChunks(restored, stored); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(machine, restored, stateOptions...); diff != "" {
		t.Errorf("state (-want +restored):\n%s", diff)
	}
}

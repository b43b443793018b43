package store

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/storage/memorydisk"
)

// golden reads a file of testdata without the line feed at its end. An earlier version wrote the files; logs and snapshots on disk
// have this format, and stores of different versions exchange it.
func golden(t *testing.T, name string) json.RawMessage {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSuffix(data, []byte("\n"))
}

// storedCommands lists one log entry of each kind, in the order in which storedMachine applies them.
var storedCommands = []struct {
	file  string
	value command
}{
	{"command-begin.json", command{Command: beginTurn("a")}},
	{"command-placement.json", command{Placement: 1<<53 + 7}},
	{"command-end.json", command{Command: endTurn("a")}},
}

func TestStoredFormat_ReadsFilesOfEarlierVersions(t *testing.T) {
	for _, test := range storedCommands {
		t.Run(test.file, func(t *testing.T) {
			want := golden(t, test.file)
			var read command
			if err := json.Unmarshal(want, &read); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.value, read); diff != "" {
				t.Errorf("values (-want +read):\n%s", diff)
			}
			if diff := cmp.Diff(string(want), string(encode(t, test.value))); diff != "" {
				t.Errorf("bytes (-want +written):\n%s", diff)
			}
		})
	}
}

// storedMachine returns a machine to which the entries in the files were applied.
func storedMachine(t *testing.T) *machine {
	t.Helper()
	m := newMachine()
	for i, entry := range storedCommands {
		if got := verdict(m.Apply(uint64(i+1), golden(t, entry.file))); got != program.Accepted {
			t.Fatalf("%s: %s", entry.file, got)
		}
	}
	return m
}

func TestStoredFormat_SnapshotsOfEarlierVersions_RestoreSameState(t *testing.T) {
	m := storedMachine(t)
	state, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	snapshot, chunks := golden(t, "snapshot.json"), bytes.Split(golden(t, "chunks.jsonl"), []byte("\n"))
	if diff := cmp.Diff(string(snapshot), string(state)); diff != "" {
		t.Errorf("snapshot (-want +written):\n%s", diff)
	}
	var stored []json.RawMessage
	for _, chunk := range chunks {
		stored = append(stored, chunk)
	}
	if diff := cmp.Diff(stored, chunksOf(t, m)); diff != "" {
		t.Errorf("chunks (-want +written):\n%s", diff)
	}
	fromSnapshot, fromChunks := newMachine(), newMachine()
	if err := fromSnapshot.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if err := restoreChunks(fromChunks, stored); err != nil {
		t.Fatal(err)
	}
	for name, restored := range map[string]*machine{"snapshot": fromSnapshot, "chunks": fromChunks} {
		if got := restored.placement.Load(); got != 1<<53+7 {
			t.Errorf("%s: placement %d", name, got)
		}
		chain, found := restored.programs.Chain("a")
		if !found || string(chain) != "input of aoutput" {
			t.Errorf("%s: chain %q, %v", name, chain, found)
		}
		if got, want := restored.programs.Stats(), (program.Stats{Turns: 1, Programs: 1, Bytes: 16}); got != want {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
}

func TestStoredFormat_RemovalMarkerOfEarlierVersion_IsFound(t *testing.T) {
	disk := memorydisk.New()
	file, err := disk.Create("shard-3.departed")
	if err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	s := newIdleStore(disk)
	if !s.isRemoved(3) || s.isRemoved(4) {
		t.Error("want shard 3, which has a marker, removed and shard 4 not removed")
	}
	s.markRemoved(4)
	if _, err := disk.Open("shard-4.departed"); err != nil {
		t.Error(err)
	}
}

package storage_test

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

var updateFormat = flag.Bool("update-format", false, "rewrite testdata/format; only for an intended change of the format")

// formatFixture describes the files in testdata/format/<name>, which a fixed sequence of calls writes.
type formatFixture struct {
	write  func(t *testing.T, disk *memorydisk.Disk)
	want   replica.Recovered // what Open returns, without the snapshot's state
	chunks []string          // of the snapshot's state
}

var (
	formatMembers = []replica.Member{{ID: "0a1b", Address: "10.0.0.1:7380"}, {ID: "2c\n\"", Address: "10.0.0.2:7380", Learner: true}}
	formatEntries = []replica.Entry{
		{Index: 1, Term: 3, Kind: replica.NoOp},
		{Index: 2, Term: 3, Kind: replica.Command, Data: json.RawMessage(`{"begin":{"turn":"t-1"}}`)},
		{Index: 3, Term: 4, Kind: replica.ConfChange, Data: json.RawMessage(`[{"id":"0a1b","address":"10.0.0.1:7380"}]`)},
		{Index: 4, Term: 4, Kind: replica.Command, Data: json.RawMessage("\"\x00\x1fG\x01 and\na line\"")},
	}
	formatReplacement = replica.Entry{Index: 4, Term: 5, Kind: replica.NoOp}
	formatTail        = replica.Entry{Index: 5, Term: 5, Kind: replica.Command, Data: json.RawMessage(`"five"`)}
	formatHardState   = replica.HardState{Term: 5, Vote: "2c\n\""}
)

// formatSnapshot returns the metadata of a snapshot with a number of chunks.
func formatSnapshot(index uint64, chunks int) *replica.Snapshot {
	return &replica.Snapshot{Index: index, Term: 4, Members: formatMembers, Chunks: chunks}
}

// formatChunks returns a source of the given chunks.
func formatChunks(chunks ...string) storage.ChunkSource {
	return func(write func(chunk json.RawMessage) error) error {
		for _, chunk := range chunks {
			if err := write(json.RawMessage(chunk)); err != nil {
				return err
			}
		}
		return nil
	}
}

// formatLog opens a group on an empty disk and saves entries of every kind, hard states and a truncation.
func formatLog(t *testing.T, disk *memorydisk.Disk) *storage.Group {
	t.Helper()
	group, _, err := storage.Open(disk, groupName)
	if err != nil {
		t.Fatal(err)
	}
	for _, ready := range []replica.Ready{
		{HardState: &replica.HardState{Term: 3}},
		{Entries: formatEntries[:2]},
		{HardState: &replica.HardState{Term: 4, Vote: "0a1b"}, Entries: formatEntries[2:]},
		{HardState: &formatHardState, TruncateFrom: 4, Entries: []replica.Entry{formatReplacement}},
	} {
		if err := group.Save(&ready); err != nil {
			t.Fatal(err)
		}
	}
	return group
}

// formatCompacted writes the log of formatLog, compacts it and saves one more entry.
func formatCompacted(t *testing.T, disk *memorydisk.Disk) *storage.Group {
	t.Helper()
	group := formatLog(t, disk)
	remaining := []replica.Entry{formatEntries[2], formatReplacement}
	if err := group.Compact(*formatSnapshot(2, 3), formatChunks(`{"a":`, `1`, `}`), remaining, formatHardState); err != nil {
		t.Fatal(err)
	}
	if err := group.Save(&replica.Ready{Entries: []replica.Entry{formatTail}}); err != nil {
		t.Fatal(err)
	}
	return group
}

// formatCrashed calls act, which saves or compacts, in a process that crashes at the given change to the disk.
func formatCrashed(t *testing.T, disk *memorydisk.Disk, change int, effect memorydisk.Effect, act func() error) {
	t.Helper()
	disk.CrashAt(change, effect)
	if err := act(); !errors.Is(err, memorydisk.ErrCrashed) {
		t.Fatalf("got %v, want ErrCrashed", err)
	}
	disk.Kill()
}

var formatFixtures = map[string]formatFixture{
	"log": {
		write: func(t *testing.T, disk *memorydisk.Disk) { formatLog(t, disk) },
		want:  replica.Recovered{HardState: formatHardState, Entries: []replica.Entry{formatEntries[0], formatEntries[1], formatEntries[2], formatReplacement}},
	},
	"compacted": {
		write: func(t *testing.T, disk *memorydisk.Disk) { formatCompacted(t, disk) },
		want: replica.Recovered{HardState: formatHardState, Snapshot: formatSnapshot(2, 3),
			Entries: []replica.Entry{formatEntries[2], formatReplacement, formatTail}},
		chunks: []string{`{"a":`, `1`, `}`},
	},
	"both-slots": {
		write: func(t *testing.T, disk *memorydisk.Disk) {
			group := formatCompacted(t, disk)
			if err := group.Compact(*formatSnapshot(5, 2), formatChunks(`{"b"`, `:2}`), nil, formatHardState); err != nil {
				t.Fatal(err)
			}
		},
		want:   replica.Recovered{HardState: formatHardState, Snapshot: formatSnapshot(5, 2)},
		chunks: []string{`{"b"`, `:2}`},
	},
	"installed": { // a snapshot from another member, and an entry after it
		write: func(t *testing.T, disk *memorydisk.Disk) {
			group := formatCompacted(t, disk)
			for number, state := range []string{`[3,`, `4]`} {
				ready := replica.Ready{ReceivedChunks: []replica.Chunk{{Number: number, Data: json.RawMessage(state)}}}
				if number == 1 {
					ready.Snapshot, ready.HardState = formatSnapshot(9, 2), &replica.HardState{Term: 6}
					ready.Entries = []replica.Entry{{Index: 10, Term: 6, Kind: replica.NoOp}}
				}
				if err := group.Save(&ready); err != nil {
					t.Fatal(err)
				}
			}
		},
		want: replica.Recovered{HardState: replica.HardState{Term: 6}, Snapshot: formatSnapshot(9, 2),
			Entries: []replica.Entry{{Index: 10, Term: 6, Kind: replica.NoOp}}},
		chunks: []string{`[3,`, `4]`},
	},
	"received": { // one chunk of an incomplete snapshot from another member, which recovery ignores
		write: func(t *testing.T, disk *memorydisk.Disk) {
			group := formatCompacted(t, disk)
			if err := group.Save(&replica.Ready{ReceivedChunks: []replica.Chunk{{Data: json.RawMessage(`[3,`)}}}); err != nil {
				t.Fatal(err)
			}
		},
		want: replica.Recovered{HardState: formatHardState, Snapshot: formatSnapshot(2, 3),
			Entries: []replica.Entry{formatEntries[2], formatReplacement, formatTail}},
		chunks: []string{`{"a":`, `1`, `}`},
	},
	"slot-begun": { // a compaction that crashed while it wrote its slot's last frame
		write: func(t *testing.T, disk *memorydisk.Disk) {
			group := formatCompacted(t, disk)
			formatCrashed(t, disk, 2, memorydisk.Torn, func() error {
				return group.Compact(*formatSnapshot(5, 1), formatChunks(`{}`), nil, formatHardState)
			})
		},
		want: replica.Recovered{HardState: formatHardState, Snapshot: formatSnapshot(2, 3),
			Entries: []replica.Entry{formatEntries[2], formatReplacement, formatTail}},
		chunks: []string{`{"a":`, `1`, `}`},
	},
	"log-begun": { // a compaction that crashed while it wrote its log's first frame
		write: func(t *testing.T, disk *memorydisk.Disk) {
			group := formatCompacted(t, disk)
			formatCrashed(t, disk, 6, memorydisk.Torn, func() error {
				return group.Compact(*formatSnapshot(4, 1), formatChunks(`{}`), []replica.Entry{formatTail}, formatHardState)
			})
		},
		want: replica.Recovered{HardState: formatHardState, Snapshot: formatSnapshot(2, 3),
			Entries: []replica.Entry{formatEntries[2], formatReplacement, formatTail}},
		chunks: []string{`{"a":`, `1`, `}`},
	},
	"torn": { // a save that crashed while it wrote its frame
		write: func(t *testing.T, disk *memorydisk.Disk) {
			group := formatCompacted(t, disk)
			formatCrashed(t, disk, 0, memorydisk.Torn, func() error {
				return group.Save(&replica.Ready{Entries: []replica.Entry{{Index: 6, Term: 5, Data: json.RawMessage(`"six"`)}}})
			})
		},
		want: replica.Recovered{HardState: formatHardState, Snapshot: formatSnapshot(2, 3),
			Entries: []replica.Entry{formatEntries[2], formatReplacement, formatTail}},
		chunks: []string{`{"a":`, `1`, `}`},
	},
	"identity": {
		write: func(t *testing.T, disk *memorydisk.Disk) {
			if _, _, err := storage.LoadOrCreateIdentity(disk, random(0xa7)); err != nil {
				t.Fatal(err)
			}
		},
	},
}

// filesOf returns the content of each file on a disk, by name.
func filesOf(t *testing.T, disk storage.Disk) map[string]string {
	t.Helper()
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, name := range names {
		files[name] = string(content(t, disk, name))
	}
	return files
}

// storedFormat reads the files of a fixture from testdata.
func storedFormat(t *testing.T, name string) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", "format", name, "*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("got files %q and error %v, want at least one file", paths, err)
	}
	files := map[string]string{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.Base(path)] = string(data)
	}
	return files
}

// Given the calls that wrote the files of a fixture, when they are repeated, then they write the same bytes.
func TestStoredFormat_WritesTheBytesOfEarlierVersions(t *testing.T) {
	for name, fixture := range formatFixtures {
		t.Run(name, func(t *testing.T) {
			disk := memorydisk.New()
			fixture.write(t, disk)
			written := filesOf(t, disk)
			if *updateFormat {
				writeFormat(t, name, written)
			}
			if text := cmp.Diff(storedFormat(t, name), written); text != "" {
				t.Error(text)
			}
		})
	}
}

// writeFormat writes the files of a fixture to testdata.
func writeFormat(t *testing.T, name string, files map[string]string) {
	t.Helper()
	dir := filepath.Join("testdata", "format", name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	for file, data := range files {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(data), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// writeSynced creates a durable file.
func writeSynced(t *testing.T, disk storage.Disk, name, data string) {
	t.Helper()
	if err := write(disk, name, []byte(data)); err != nil {
		t.Fatal(err)
	}
	file, err := disk.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(file.Sync(), file.Close(), disk.SyncDir()); err != nil {
		t.Fatal(err)
	}
}

// Given files that an earlier version has written, when a group is opened, then it recovers the expected state, and the same state
// again after a power loss.
func TestStoredFormat_ReadsFilesOfEarlierVersions(t *testing.T) {
	for name, fixture := range formatFixtures {
		if name == "identity" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			disk := memorydisk.New()
			for file, data := range storedFormat(t, name) {
				writeSynced(t, disk, file, data)
			}
			for range 2 {
				group, recovered, err := storage.Open(disk, groupName)
				if err != nil {
					t.Fatal(err)
				}
				if text := diff(fixture.want, recovered); text != "" {
					t.Error(text)
				}
				var chunks []string
				if err := group.ReadChunks(func(chunk json.RawMessage) error { chunks = append(chunks, string(chunk)); return nil }); err != nil {
					t.Fatal(err)
				}
				if text := cmp.Diff(fixture.chunks, chunks); text != "" {
					t.Error(text)
				}
				disk.LosePower(1)
			}
		})
	}
}

// Given the identity file of an earlier version, when the machine starts, then it has that identity.
func TestStoredFormat_ReadsTheIdentityOfEarlierVersions(t *testing.T) {
	disk := memorydisk.New()
	if err := write(disk, "identity", []byte(storedFormat(t, "identity")["identity"])); err != nil {
		t.Fatal(err)
	}
	id, created, err := storage.LoadOrCreateIdentity(disk, random(1))
	if err != nil || created || id != strings.Repeat("a7", 16) {
		t.Fatalf("got identity %q, created %v and error %v, want the stored identity", id, created, err)
	}
}

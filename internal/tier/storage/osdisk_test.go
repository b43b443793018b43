package storage_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mastusher/internal/tier/storage"
)

// openDir opens a directory as a disk.
func openDir(t testing.TB, root string) *storage.OSDisk {
	t.Helper()
	disk, err := storage.OpenOSDisk(root)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = disk.Close() })
	return disk
}

// Given a group in a directory, when processes use it one after the other, then each recovers what the previous one has saved.
func TestOSDisk_GroupOfSeveralProcesses_RecoversWhatWasSaved(t *testing.T) {
	root := t.TempDir()
	m := &testMember{view: openDir(t, root), allowed: []savedState{{}}}
	for _, steps := range [][]step{
		{{TermIncrement: 1, Vote: "north", Entries: 3, Bytes: 100}, {Truncate: 1, Entries: 2, Bytes: 10}},
		{{Entries: 2, Bytes: 10}, {Compact: true, Remaining: 2, Bytes: 200}, {Entries: 1, Bytes: 10}},
		{{Compact: true, Remaining: 1, Bytes: 200}, {Install: true, Entries: 1, Bytes: 20}, {Compact: true, Bytes: 10}},
		{{TermIncrement: 1, Entries: 1}},
	} {
		if err := m.runProcess(steps); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.runProcess(nil); err != nil {
		t.Fatal(err)
	}
	names, err := m.view.List()
	if err != nil || strings.Join(names, " ") != "turns-1.log-4 turns-1.slot-a turns-1.slot-b" {
		t.Fatalf("got files %q and error %v, want log 4 and both slots", names, err)
	}
}

// Given a log in a directory that ends with a torn write, when a process opens the log, then it removes the torn write and appends in
// its place.
func TestOSDisk_TornLog_IsTruncatedAndAppendedTo(t *testing.T) {
	root := t.TempDir()
	m := &testMember{view: openDir(t, root), allowed: []savedState{{}}}
	if err := m.runProcess([]step{{TermIncrement: 1, Entries: 3, Bytes: 100}}); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(root, firstLog)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, append(complete, complete[28:128]...), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if err := m.runProcess([]step{{Entries: 1, Bytes: 10}}); err != nil {
			t.Fatal(err)
		}
	}
}

// Given a directory, when files are created, renamed, truncated and removed, then OSDisk behaves as the Disk interface requires.
func TestOSDisk_Files_BehaveAsDiskSays(t *testing.T) {
	disk := openDir(t, t.TempDir())
	if _, err := disk.Open("missing"); !errors.Is(err, fs.ErrNotExist) {
		t.Fatalf("got %v, want fs.ErrNotExist", err)
	}
	file, err := disk.Create("draft")
	if err != nil {
		t.Fatal(err)
	}
	for _, act := range []func() error{
		func() error { _, writeErr := file.Write([]byte("hello world")); return writeErr },
		func() error { return file.Truncate(6) },
		func() error { _, writeErr := file.Write([]byte("there")); return writeErr },
		file.Sync, file.Close,
		func() error { return disk.Rename("draft", "final") },
		disk.SyncDir,
	} {
		if err = act(); err != nil {
			t.Fatal(err)
		}
	}
	if file, err = disk.Open("final"); err != nil {
		t.Fatal(err)
	}
	data, err := file.ReadAll()
	if size, _ := file.Size(); err != nil || string(data) != "hello there" || size != 11 {
		t.Fatalf("got content %q, size %d and error %v, want hello there", data, size, err)
	}
	if _, err = file.Write([]byte("!")); err != nil {
		t.Fatal(err)
	}
	if data, err = file.ReadAll(); err != nil || string(data) != "hello there!" {
		t.Fatalf("got content %q and error %v, want hello there!", data, err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	if err := file.Sync(); err == nil {
		t.Fatal("Sync of a closed file succeeded")
	}
	if err := disk.Remove("final"); err != nil {
		t.Fatal(err)
	}
	if names, err := disk.List(); err != nil || len(names) != 0 {
		t.Fatalf("got files %q and error %v, want no files", names, err)
	}
}

// Given a missing directory, when it is opened, then there is an error.
func TestOSDisk_DirectoryMissing_IsAnError(t *testing.T) {
	if _, err := storage.OpenOSDisk(filepath.Join(t.TempDir(), "missing")); err == nil {
		t.Fatal("a missing directory was opened")
	}
}

// Given a disk in a directory, when a machine starts twice, then it keeps its identity.
func TestOSDisk_Identity_IsTheSameAfterRestart(t *testing.T) {
	disk := openDir(t, t.TempDir())
	first, created, err := storage.LoadOrCreateIdentity(disk, random(7))
	if err != nil || !created {
		t.Fatalf("got created %v and error %v, want a new identity", created, err)
	}
	second, created, err := storage.LoadOrCreateIdentity(disk, random(8))
	if err != nil || created || second != first {
		t.Fatalf("got identity %q, created %v and error %v, want %q again", second, created, err, first)
	}
}

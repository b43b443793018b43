package storage_test

import (
	"fmt"
	"testing"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// unsynced is a disk that omits the sync of files, to measure the cost of a save without it.
type unsynced struct{ storage.Disk }

func (d unsynced) Create(name string) (storage.File, error) {
	file, err := d.Disk.Create(name)
	return unsyncedFile{file}, err
}

type unsyncedFile struct{ storage.File }

func (unsyncedFile) Sync() error { return nil }

// benchmarkSave measures saves of a number of entries. It compacts a long log while the timer is stopped.
func benchmarkSave(b *testing.B, disk storage.Disk, entries int) {
	const dataBytes, maxLogBytes = 1024, 32 << 20
	group, _, err := storage.Open(disk, groupName)
	if err != nil {
		b.Fatal(err)
	}
	ready := replica.Ready{Entries: make([]replica.Entry, entries)}
	next := uint64(1)
	data := entryAt(1, 1, dataBytes-2).Data
	b.SetBytes(int64(entries * dataBytes))
	b.ReportAllocs()
	for b.Loop() {
		for i := range ready.Entries {
			ready.Entries[i] = replica.Entry{Index: next, Term: 1, Data: data}
			next++
		}
		if err := group.Save(&ready); err != nil {
			b.Fatal(err)
		}
		if group.LogBytes() > maxLogBytes {
			b.StopTimer()
			snapshot := replica.Snapshot{Index: next - 1, Term: 1, Chunks: 1, State: data}
			if err := group.Compact(snapshot, chunkSource(&snapshot), nil, replica.HardState{}); err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
		}
	}
}

func BenchmarkSave(b *testing.B) {
	disks := map[string]func(b *testing.B) storage.Disk{
		"memory":             func(*testing.B) storage.Disk { return memorydisk.New() },
		"directory":          func(b *testing.B) storage.Disk { return openDir(b, b.TempDir()) },
		"directory unsynced": func(b *testing.B) storage.Disk { return unsynced{openDir(b, b.TempDir())} },
	}
	for name, open := range disks {
		for _, entries := range []int{1, 10} {
			b.Run(fmt.Sprintf("%s/%d entries of 1 KB", name, entries), func(b *testing.B) {
				benchmarkSave(b, open(b), entries)
			})
		}
	}
}

func BenchmarkOpen(b *testing.B) {
	const entries, dataBytes = 4000, 1024
	disk := memorydisk.New()
	group, _, err := storage.Open(disk, groupName)
	if err != nil {
		b.Fatal(err)
	}
	for i := range uint64(entries) {
		if err := group.Save(&replica.Ready{Entries: []replica.Entry{entryAt(i+1, 1, dataBytes-2)}}); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(entries * dataBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := storage.Open(disk, groupName); err != nil {
			b.Fatal(err)
		}
	}
}

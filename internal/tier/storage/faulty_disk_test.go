package storage_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/storage"
)

// mutant is a disk that omits or reorders operations, which simulates a bug in package storage.
type mutant struct {
	storage.Disk
	skipsDirSync     bool
	skipsSyncOf      string // skips the sync of files whose names contain this text
	skipsFirstSync   bool   // skips the sync of existing files until they are written to
	skipsTruncate    bool
	removesLogsEarly bool // removes the old logs before the next log is created
}

func (m *mutant) SyncDir() error {
	if m.skipsDirSync {
		return nil
	}
	return m.Disk.SyncDir()
}

func (m *mutant) Open(name string) (storage.File, error) {
	file, err := m.Disk.Open(name)
	return m.wrap(name, file, m.skipsFirstSync), err
}

func (m *mutant) Create(name string) (storage.File, error) {
	if m.removesLogsEarly && strings.Contains(name, ".log-") {
		m.removeLogs()
	}
	file, err := m.Disk.Create(name)
	return m.wrap(name, file, false), err
}

func (m *mutant) removeLogs() {
	names, _ := m.Disk.List()
	for _, name := range names {
		if strings.Contains(name, ".log-") {
			_ = m.Disk.Remove(name)
		}
	}
}

func (m *mutant) wrap(name string, file storage.File, skipsUntilWrite bool) storage.File {
	if file == nil {
		return nil
	}
	skips := m.skipsSyncOf != "" && strings.Contains(name, m.skipsSyncOf)
	return &mutantFile{File: file, skipsSync: skips, skipsUntilWrite: skipsUntilWrite, skipsTruncate: m.skipsTruncate}
}

// mutantFile is a file on a mutant.
type mutantFile struct {
	storage.File
	skipsSync       bool
	skipsUntilWrite bool
	skipsTruncate   bool
}

func (f *mutantFile) Write(data []byte) (int, error) {
	f.skipsUntilWrite = false
	return f.File.Write(data)
}

func (f *mutantFile) Sync() error {
	if f.skipsSync || f.skipsUntilWrite {
		return nil
	}
	return f.File.Sync()
}

func (f *mutantFile) Truncate(size int64) error {
	if f.skipsTruncate {
		return nil
	}
	return f.File.Truncate(size)
}

// tolerantDisk ignores errors of Remove, since removesLogsEarly has removed the old log already.
type tolerantDisk struct{ *mutant }

func (d tolerantDisk) Remove(name string) error {
	_ = d.mutant.Remove(name)
	return nil
}

const (
	mutantHistories  = 3000 // run until one fails; if none does, the mutant is not detected
	controlHistories = 2000 // the first of the same histories, which must pass without a mutation
)

// firstFailure runs generated histories until one fails, and returns its error, or nil if all pass.
func firstFailure(count int, wrap func(storage.Disk) storage.Disk) error {
	for seed := range count {
		if err := runHistory(anyHistory.Example(seed), wrap); err != nil {
			return err
		}
	}
	return nil
}

// wrapping returns a function that wraps a disk in a mutant with these settings.
func (m mutant) wrapping() func(storage.Disk) storage.Disk {
	return func(disk storage.Disk) storage.Disk {
		mutated := m
		mutated.Disk = disk
		return tolerantDisk{&mutated}
	}
}

// Given a disk without a mutation, when histories that detect the mutants are run, then all pass.
func TestHistories_UnchangedPackage_ShowNoMistake(t *testing.T) {
	if err := firstFailure(controlHistories, mutant{}.wrapping()); err != nil {
		t.Fatal(err)
	}
}

// Given a disk with a mutation, when histories of the crash tests are run, then at least one fails.
func TestHistories_MutantDisk_IsCaught(t *testing.T) {
	mutants := map[string]mutant{
		"directory not synced":                      {skipsDirSync: true},
		"slot not synced":                           {skipsSyncOf: ".slot-"},
		"log not synced":                            {skipsSyncOf: ".log-"},
		"old log removed before the new one exists": {removesLogsEarly: true},
		"log not synced by recovery":                {skipsFirstSync: true},
		"torn write not truncated":                  {skipsTruncate: true},
	}
	for name, settings := range mutants {
		t.Run(name, func(t *testing.T) {
			err := firstFailure(mutantHistories, settings.wrapping())
			if err == nil {
				t.Fatalf("none of %d histories detected the mutation", mutantHistories)
			}
			t.Log(err)
		})
	}
}

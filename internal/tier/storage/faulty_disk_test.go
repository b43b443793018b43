package storage_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/storage"
)

// mutant is a disk that omits or reorders what the package asks of it, as a mistake in the package would.
type mutant struct {
	storage.Disk
	skipsDirSync     bool
	skipsSyncOf      string // files with this in their names
	skipsFirstSync   bool   // of files that were there, before anything is written to them
	skipsTruncate    bool
	removesLogsEarly bool // as soon as the next log is made
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

// mutantFile is a file of a mutant.
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

// tolerantDisk hides that an old log is gone already, as a package that removes it first would.
type tolerantDisk struct{ *mutant }

func (d tolerantDisk) Remove(name string) error {
	_ = d.mutant.Remove(name)
	return nil
}

const (
	mutantHistories  = 3000 // that a mutant has to survive to count as not caught
	controlHistories = 2000 // of these, that the package as it is runs
)

// catch runs histories until one shows that something is wrong, and returns what.
func catch(count int, wrap func(storage.Disk) storage.Disk) error {
	for seed := range count {
		if err := runHistory(anyHistory.Example(seed), wrap); err != nil {
			return err
		}
	}
	return nil
}

// wrapping returns a function that makes a mutant like this one out of a disk.
func (m mutant) wrapping() func(storage.Disk) storage.Disk {
	return func(disk storage.Disk) storage.Disk {
		made := m
		made.Disk = disk
		return tolerantDisk{&made}
	}
}

// Given the package as it is, when the histories that catch the mutants are run, then none shows a mistake.
func TestHistories_UnchangedPackage_ShowNoMistake(t *testing.T) {
	if err := catch(controlHistories, mutant{}.wrapping()); err != nil {
		t.Fatal(err)
	}
}

// Given the package with a mistake, when the histories of the crash tests are run, then at least one shows the mistake.
func TestHistories_MutantDisk_IsCaught(t *testing.T) {
	mutants := map[string]mutant{
		"directory not synced":                       {skipsDirSync: true},
		"slot not synced":                            {skipsSyncOf: ".slot-"},
		"log not synced":                             {skipsSyncOf: ".log-"},
		"old log removed before the new one is made": {removesLogsEarly: true},
		"log not synced by recovery":                 {skipsFirstSync: true},
		"torn write not truncated":                   {skipsTruncate: true},
	}
	for name, settings := range mutants {
		t.Run(name, func(t *testing.T) {
			err := catch(mutantHistories, settings.wrapping())
			if err == nil {
				t.Fatalf("%d histories did not catch it", mutantHistories)
			}
			t.Log(err)
		})
	}
}

package storage_test

import (
	"errors"
	"testing"

	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

const (
	firstLog  = groupName + ".log-0"
	secondLog = groupName + ".log-1"
	firstSlot = groupName + ".slot-a"
)

// savedMember returns a member with a log of the first frame and two saves.
func savedMember(t *testing.T) *testMember {
	t.Helper()
	m := newTestMember(unwrapped)
	mustApply(t, m, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}, {Entries: 1, Bytes: 20}})
	return m
}

// compactedMember returns a member with a slot, and a log of the first frame and one save.
func compactedMember(t *testing.T) *testMember {
	t.Helper()
	m := savedMember(t)
	m.disk.Kill()
	mustApply(t, m, []step{{Compact: true, Remaining: 1, Bytes: 20}, {Entries: 1, Bytes: 20}})
	return m
}

// wantCorrupt checks that opening the group returns a CorruptError.
func wantCorrupt(t *testing.T, m *testMember, damage string, offset int64) {
	t.Helper()
	m.disk.Kill()
	_, recovered, err := storage.Open(m.disk, groupName)
	var corrupt *storage.CorruptError
	if !errors.As(err, &corrupt) || !errors.Is(err, storage.ErrCorrupt) {
		t.Fatalf("%s at %d: got error %v and state %+v, want a CorruptError", damage, offset, err, recovered)
	}
}

// Given a synced log, when any byte before its last frame is damaged, then Open returns a CorruptError.
func TestOpen_LogDamagedBeforeLastFrame_IsCorrupt(t *testing.T) {
	before := savedMember(t).disk.Size(firstLog)
	complete := func(t *testing.T) *testMember {
		m := savedMember(t)
		m.disk.Kill()
		mustApply(t, m, []step{{Entries: 1, Bytes: 20}})
		return m
	}
	for offset := range before {
		m := complete(t)
		if err := m.disk.Corrupt(firstLog, offset); err != nil {
			t.Fatal(err)
		}
		wantCorrupt(t, m, "log", offset)
	}
}

// Given a log, when its last frame is damaged at any byte or truncated at any length, then Open removes this frame as a torn write,
// and the next save is appended at its place.
func TestOpen_TornLastFrame_IsTruncated(t *testing.T) {
	earlier := savedMember(t)
	start := earlier.disk.Size(firstLog)
	complete := func(t *testing.T) *testMember {
		m := savedMember(t)
		m.disk.Kill()
		mustApply(t, m, []step{{TermIncrement: 1, Entries: 1, Bytes: 20}})
		m.allowed = earlier.allowed
		return m
	}
	end := complete(t).disk.Size(firstLog)
	damages := map[string]func(disk *memorydisk.Disk, offset int64) error{
		"damage":     func(disk *memorydisk.Disk, offset int64) error { return disk.Corrupt(firstLog, offset) },
		"truncation": func(disk *memorydisk.Disk, offset int64) error { return truncateFile(disk, firstLog, offset) },
	}
	for name, damageAt := range damages {
		for offset := start; offset < end; offset++ {
			m := complete(t)
			if err := damageAt(m.disk, offset); err != nil {
				t.Fatal(err)
			}
			m.disk.Kill()
			if err := m.runProcess([]step{{Entries: 2, Bytes: 40}}); err != nil {
				t.Fatalf("%s at %d: %v", name, offset, err)
			}
			m.disk.Kill()
			if err := m.recoverTwice(); err != nil {
				t.Fatalf("%s at %d, after the next save: %v", name, offset, err)
			}
		}
	}
}

// truncateFile truncates a file and syncs it.
func truncateFile(disk *memorydisk.Disk, name string, size int64) error {
	file, err := disk.Open(name)
	if err != nil {
		return err
	}
	if err := file.Truncate(size); err != nil {
		return err
	}
	return file.Sync()
}

// Given a compacted group, when any byte of its slot or of its log's first header is damaged, then Open returns a CorruptError.
func TestOpen_SlotOrFirstFrameDamaged_IsCorrupt(t *testing.T) {
	for name, length := range map[string]int64{firstSlot: compactedMember(t).disk.Size(firstSlot), secondLog: 28} {
		for offset := range length {
			m := compactedMember(t)
			if err := m.disk.Corrupt(name, offset); err != nil {
				t.Fatal(err)
			}
			wantCorrupt(t, m, name, offset)
		}
	}
}

// Given a compacted group, when its slot or its log is missing, then Open returns a CorruptError and doesn't treat the disk as empty.
func TestOpen_FileMissing_IsCorrupt(t *testing.T) {
	for _, name := range []string{firstSlot, secondLog} {
		m := compactedMember(t)
		if err := m.disk.Remove(name); err != nil {
			t.Fatal(err)
		}
		wantCorrupt(t, m, name, 0)
	}
}

// Given an intact frame with a bad record, when the group is opened, then Open returns a CorruptError.
func TestOpen_BadRecord_IsCorrupt(t *testing.T) {
	for name, payload := range map[string]string{
		"no line break":              `{"record":"promise","epoch":1}`,
		"not JSON":                   "promise\n",
		"unknown kind":               `{"record":"wish"}` + "\n",
		"gap":                        `{"record":"entry","index":5,"epoch":1}` + "\n\n",
		"size too large":             `{"record":"entry","index":1,"epoch":1,"size":9}` + "\n1\n",
		"size negative":              `{"record":"entry","index":1,"epoch":1,"size":-1}` + "\n1\n",
		"size too small":             `{"record":"entry","index":1,"epoch":1,"size":1}` + "\n123\n",
		"truncation within snapshot": `{"record":"snapshot","index":9}` + "\n\n" + `{"record":"truncate","index":9}` + "\n",
		"negative index":             `{"record":"entry","index":-1,"epoch":1}` + "\n\n",
		"kind too large":             `{"record":"entry","index":1,"kind":300}` + "\n\n",
		"entry of index 0":           `{"record":"entry","epoch":1}` + "\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			if err := write(m.disk, firstLog, storage.Frame(0, 0, payload)); err != nil {
				t.Fatal(err)
			}
			wantCorrupt(t, m, name, 0)
		})
	}
}

// write creates a file with the content.
func write(disk storage.Disk, name string, content []byte) error {
	file, err := disk.Create(name)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return err
}

package storage_test

import (
	"errors"
	"strings"
	"syscall"
	"testing"

	"github.com/gravitational/trace"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/storage/memorydisk"
)

// wantFailed checks that an error is a FailedError.
func wantFailed(t *testing.T, err error) {
	t.Helper()
	var failed *storage.FailedError
	if !errors.As(err, &failed) || !errors.Is(err, storage.ErrFailed) {
		t.Fatalf("got %v, want a FailedError", err)
	}
}

// Given a Ready, when it is saved, then that takes one write and one sync, or none if the Ready has nothing to save.
func TestSave_AnyReady_TakesOneWriteAndOneSync(t *testing.T) {
	for name, test := range map[string]struct {
		ready replica.Ready
		want  int
	}{
		"nothing":    {replica.Ready{MessagesAfterSync: []replica.Message{{}}, CommittedEntries: []replica.Entry{entryAt(1, 1, 1)}}, 0},
		"hard state": {replica.Ready{HardState: &replica.HardState{Term: 9}}, 1},
		"everything": {replica.Ready{HardState: &replica.HardState{Term: 9}, TruncateFrom: 3, Entries: []replica.Entry{entryAt(3, 1, 9), entryAt(4, 1, 9)}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 3, Bytes: 9}})
			before, bytes := m.disk.Counts(), group.LogBytes()
			if err := group.Save(&test.ready); err != nil {
				t.Fatal(err)
			}
			after := m.disk.Counts()
			if after.Writes-before.Writes != test.want || after.Syncs-before.Syncs != test.want || after.Changes-before.Changes != 2*test.want {
				t.Fatalf("before %+v, after %+v, want %d more writes and syncs", before, after, test.want)
			}
			if got, want := group.LogBytes()-bytes, after.BytesWritten-before.BytesWritten; got != want {
				t.Fatalf("LogBytes grew by %d bytes, want the %d bytes that were written", got, want)
			}
		})
	}
}

// Given a full disk, when a member saves or compacts, then the group has failed even after space becomes free, and nothing saved is
// lost.
func TestGroup_DiskFull_AcceptsNothingMore(t *testing.T) {
	for name, last := range map[string]step{"save": {Entries: 3, Bytes: 300}, "compaction": {Compact: true, Remaining: 2, Bytes: 300}} {
		t.Run(name, func(t *testing.T) {
			full := 0
			for free := range int64(700) {
				m := newTestMember(unwrapped)
				group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}})
				m.disk.SetCapacity(m.disk.Size(firstLog) + free + 1)
				err := m.apply(group, last)
				if err == nil {
					continue
				}
				full++
				wantFailed(t, err)
				if !storage.IsDiskFull(err) {
					t.Fatalf("got %v, want an error for which IsDiskFull holds", err)
				}
				m.disk.SetCapacity(0)
				wantFailed(t, group.Save(&replica.Ready{}))
				m.disk.LosePower(uint64(free))
				m.disk.SetCapacity(1) // recovery needs no space
				if err := m.recoverTwice(); err != nil {
					t.Fatalf("%d bytes free: %v", free, err)
				}
			}
			if full == 0 {
				t.Fatal("the disk was never full")
			}
		})
	}
}

// failures is the number of trials, in each of which one operation of a step fails.
const failures = 8

// Given a disk on which any one operation of a step fails, then the group has failed and makes no more changes to the disk, so that
// it never repeats a failed sync. The state that the next process recovers is durable, although the writes before a failed sync are
// lost.
func TestGroup_DiskOperationFails_AcceptsNothingMore(t *testing.T) {
	for name, last := range map[string]step{"save": {Entries: 3, Bytes: 90}, "compaction": {Compact: true, Remaining: 2, Bytes: 90}} {
		t.Run(name, func(t *testing.T) {
			for failing := range failures {
				m := newTestMember(unwrapped)
				group := mustApply(t, m, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}, {Compact: true, Remaining: 1}, {Entries: 1}})
				m.disk.InjectFaults(failAt(failing))
				err := m.apply(group, last)
				if err == nil {
					continue
				}
				wantFailed(t, err)
				if !errors.Is(err, syscall.EIO) {
					t.Fatalf("got %v, want the disk's error as its cause", err)
				}
				changes := m.disk.Counts().Changes
				wantFailed(t, group.Save(&replica.Ready{Entries: []replica.Entry{entryAt(4, 1, 1)}}))
				wantFailed(t, group.Compact(*snapshotAt(3, 1, 1), chunkSource(snapshotAt(3, 1, 1)), nil, replica.HardState{Term: 9}))
				if after := m.disk.Counts().Changes; after != changes {
					t.Fatalf("%d changes were made to the disk after the failure", after-changes)
				}
				m.disk.Kill()
				if err := m.recoverTwice(); err != nil {
					t.Fatalf("operation %d: %v", failing, err)
				}
			}
		})
	}
}

// failAt returns a fault function that fails the operation with the given number, counted from 0.
func failAt(operation int) func(memorydisk.Operation, string) error {
	return func(_ memorydisk.Operation, _ string) error {
		operation--
		if operation == -1 {
			return syscall.EIO
		}
		return nil
	}
}

// Given a disk on which any one operation of a recovery fails, then the error is the disk's and not a CorruptError.
func TestOpen_DiskOperationFails_IsNotCorrupt(t *testing.T) {
	failed := 0
	for failing := range 12 {
		m := newTestMember(unwrapped)
		mustApply(t, m, []step{{TermIncrement: 1, Entries: 2, Bytes: 20}, {Compact: true, Remaining: 1}, {Entries: 1}})
		m.disk.Kill()
		m.disk.InjectFaults(failAt(failing))
		_, err := m.open()
		var corrupt *storage.CorruptError
		if errors.As(err, &corrupt) {
			t.Fatalf("operation %d: got %v", failing, err)
		}
		if err != nil {
			failed++
		}
		m.disk.InjectFaults(nil)
		m.disk.Kill()
		if err := m.recoverTwice(); err != nil {
			t.Fatalf("operation %d: %v", failing, err)
		}
	}
	if failed == 0 {
		t.Fatal("no operation failed")
	}
}

// Given a member, when a Ready is inconsistent with what it has saved, then Save fails before anything is written.
func TestSave_InvalidChange_WritesNothing(t *testing.T) {
	for name, ready := range map[string]replica.Ready{
		"gap":                        {Entries: []replica.Entry{entryAt(9, 2, 1)}},
		"repeated entry":             {Entries: []replica.Entry{entryAt(3, 2, 1)}},
		"truncation within snapshot": {TruncateFrom: 2},
		"lower term":                 {HardState: &replica.HardState{Term: 1}},
		"another vote":               {HardState: &replica.HardState{Term: 2, Vote: "south"}},
		"vote withdrawn":             {HardState: &replica.HardState{Term: 2}},
		"gap after install":          {Snapshot: snapshotAt(9, 2, 1), Entries: []replica.Entry{entryAt(4, 2, 1)}},
		"no chunks":                  {Snapshot: snapshotAt(9, 2, 1)},
		"a later chunk":              {ReceivedChunks: chunksOf(snapshotAt(9, 2, 1))[1:]},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			group := mustApply(t, m, []step{{TermIncrement: 2, Vote: "north", Entries: 3, Bytes: 9}, {Compact: true, Remaining: 1}})
			changes := m.disk.Counts().Changes
			err := group.Save(&ready)
			wantFailed(t, err)
			if !errors.Is(err, storage.ErrInvalidChange) && !errors.Is(err, storage.ErrChunkOrder) {
				t.Errorf("got %v, want an invalid change or a chunk out of order as its cause", err)
			}
			if after := m.disk.Counts().Changes; after != changes {
				t.Fatal("something was written")
			}
		})
	}
}

// Given a member, when a compaction would lose or contradict what it has saved, then Compact returns an error, and the member can
// still save.
func TestCompact_InvalidChange_ChangesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		snapshot  *replica.Snapshot
		remaining []replica.Entry
		hardState replica.HardState
	}{
		"entries missing":  {snapshotAt(2, 2, 1), nil, replica.HardState{Term: 2, Vote: "north"}},
		"gap":              {snapshotAt(1, 2, 1), []replica.Entry{entryAt(3, 2, 1)}, replica.HardState{Term: 2, Vote: "north"}},
		"earlier snapshot": {snapshotAt(1, 2, 1), []replica.Entry{entryAt(2, 2, 1), entryAt(3, 2, 1)}, replica.HardState{Term: 2, Vote: "north"}},
		"lower term":       {snapshotAt(3, 2, 1), nil, replica.HardState{Term: 1}},
		"other vote":       {snapshotAt(3, 2, 1), nil, replica.HardState{Term: 2, Vote: "south"}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMember(unwrapped)
			group := mustApply(t, m, []step{{TermIncrement: 2, Vote: "north", Entries: 3, Bytes: 9}, {Compact: true, Remaining: 1}})
			err := group.Compact(*test.snapshot, chunkSource(test.snapshot), test.remaining, test.hardState)
			if !errors.Is(err, storage.ErrInvalidChange) || errors.Is(err, storage.ErrFailed) {
				t.Fatalf("got %v, want an invalid change that doesn't fail the group", err)
			}
			if err := m.apply(group, step{Entries: 1}); err != nil {
				t.Fatal(err)
			}
			m.disk.LosePower(1)
			if err := m.recoverTwice(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Given a closed group, when it is closed again, then Close succeeds; when it saves, then Save returns a FailedError.
func TestGroup_Closed_AcceptsNothing(t *testing.T) {
	m := newTestMember(unwrapped)
	group := mustApply(t, m, nil)
	for range 2 {
		if err := group.Close(); err != nil {
			t.Fatal(err)
		}
	}
	wantFailed(t, group.Save(&replica.Ready{}))
}

// Given a name that can't be the prefix of a file name, when a group is opened with it, then Open returns trace.BadParameter.
func TestOpen_BadGroupName_IsRefused(t *testing.T) {
	for _, name := range []string{"", "a/b", ".hidden", "nul\x00"} {
		if _, _, err := storage.Open(memorydisk.New(), name); !trace.IsBadParameter(err) {
			t.Errorf("%q: got %v, want a bad parameter", name, err)
		}
	}
}

// Given two groups, the name of one a prefix of the other's, and unrelated files with similar names, when the groups are used, then
// each uses only its own files.
func TestOpen_GroupsWithLikeNames_KeepTheirOwnFiles(t *testing.T) {
	disk := memorydisk.New()
	for _, name := range []string{"turns", "turns.log-1", "identity", "turns.slot-c", "turns.log-01"} {
		if err := write(disk, name, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := disk.Remove("turns.log-1"); err != nil {
		t.Fatal(err)
	}
	for i, name := range []string{"turns", "turns.log-1"} {
		group, _, err := storage.Open(disk, name)
		if err != nil {
			t.Fatal(err)
		}
		if err := group.Save(&replica.Ready{HardState: &replica.HardState{Term: uint64(i + 1)}}); err != nil {
			t.Fatal(err)
		}
	}
	disk.LosePower(1)
	for i, name := range []string{"turns", "turns.log-1"} {
		_, recovered, err := storage.Open(disk, name)
		if err != nil || recovered.HardState.Term != uint64(i+1) {
			t.Fatalf("%s: got %+v and %v", name, recovered, err)
		}
	}
	groups, err := storage.ListGroups(disk)
	if err != nil || strings.Join(groups, " ") != "turns turns.log-1" {
		t.Fatalf("got groups %q and %v", groups, err)
	}
}

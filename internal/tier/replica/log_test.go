package replica

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestRaftLog_RandomOperations_MatchPlainList compares the log with a plain list of all entries that is never compacted.
func TestRaftLog_RandomOperations_MatchPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log raftLog
		var all []Entry
		term := uint64(1)
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				term += rapid.Uint64Range(0, 2).Draw(t, "terms")
				entry := Entry{Index: uint64(len(all)) + 1, Term: term, Data: make([]byte, rapid.IntRange(0, 100).Draw(t, "size"))}
				log.append(entry)
				all = append(all, entry)
			},
			"truncate": func(t *rapid.T) {
				index := rapid.Uint64Range(log.offset+1, log.lastIndex()+1).Draw(t, "index")
				log.truncate(index)
				all = all[: index-1 : index-1]
			},
			"compact": func(t *rapid.T) {
				log.compact(rapid.Uint64Range(0, log.lastIndex()).Draw(t, "index"))
			},
			"tail": func(t *rapid.T) {
				index := rapid.Uint64Range(log.offset, log.lastIndex()).Draw(t, "index")
				count := rapid.Uint64Range(0, 9).Draw(t, "count")
				bytes := rapid.IntRange(0, 600).Draw(t, "bytes")
				checkTail(t, &log, index, count, bytes)
			},
			"": func(t *rapid.T) {
				checkLog(t, &log, all)
			},
		})
	})
}

func checkLog(t *rapid.T, log *raftLog, all []Entry) {
	if log.lastIndex() != uint64(len(all)) {
		t.Fatalf("last index %d, want %d", log.lastIndex(), len(all))
	}
	if difference := cmp.Diff(all[log.offset:], log.slice(log.offset+1, log.lastIndex())); difference != "" && len(all) > int(log.offset) {
		t.Fatalf("entries (-want +got):\n%s", difference)
	}
	if log.offset > 0 && !log.matchTerm(log.offset, all[log.offset-1].Term) {
		t.Fatalf("the term of the last compacted entry %d is wrong", log.offset)
	}
	if _, known := log.termAt(log.lastIndex() + 1); known {
		t.Fatal("the log has a term for an entry after its last one")
	}
	checkBatch(t, log)
	checkFindConflict(t, log, all)
}

func checkBatch(t *rapid.T, log *raftLog) {
	if log.lastIndex() == log.offset {
		return
	}
	first := rapid.Uint64Range(log.offset+1, log.lastIndex()).Draw(t, "first")
	limit := rapid.IntRange(1, 500).Draw(t, "limit")
	entries, size := log.batch(first, limit)
	if len(entries) == 0 || entries[0].Index != first {
		t.Fatalf("batch from %d is %v, want it to begin with that entry", first, entries)
	}
	if size > limit && len(entries) > 1 {
		t.Fatalf("a batch of %d entries has %d bytes, want at most %d", len(entries), size, limit)
	}
}

func checkFindConflict(t *rapid.T, log *raftLog, all []Entry) {
	limit := rapid.Uint64Range(log.offset, log.lastIndex()+3).Draw(t, "hint")
	term := rapid.Uint64Range(0, 9).Draw(t, "term")
	got := log.findConflictByTerm(limit, term)
	want := log.offset
	for index := log.offset + 1; index <= min(limit, log.lastIndex()); index++ {
		if all[index-1].Term <= term {
			want = index
		}
	}
	if got != want {
		t.Fatalf("findConflictByTerm up to %d with term %d is %d, want %d", limit, term, got, want)
	}
}

// checkTail checks that compactionIndex keeps as many entries as both limits allow.
func checkTail(t *rapid.T, log *raftLog, index, count uint64, bytes int) {
	got := log.compactionIndex(index, count, bytes)
	sizeFrom := func(first uint64) int {
		size := 0
		for _, entry := range log.slice(first+1, index) {
			size += entrySize(&entry)
		}
		return size
	}
	if got > index || got < log.offset || index-got > count || sizeFrom(got) > bytes {
		t.Fatalf("snapshot at %d, at most %d entries and %d bytes: compacted to %d, which keeps %d bytes and exceeds a limit", index, count, bytes, got, sizeFrom(got))
	}
	if got > log.offset && index-got < count && sizeFrom(got-1) <= bytes {
		t.Fatalf("snapshot at %d, at most %d entries and %d bytes: compacted to %d, although one more entry could be kept", index, count, bytes, got)
	}
}

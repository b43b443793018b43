package group_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/replica"
)

func TestCompact_LaterTermSeen_SnapshotKeepsTermOfItsLastEntry(t *testing.T) {
	// Given a member that has compacted its log up to an entry of term 1,
	single := newSingle(t, 1, "a", "b", "c")
	single.run(appendEntries(1, 0, 0, 2, command(1, 1, "x"), command(2, 1, "y")))
	single.run()
	// when it sees a later term and commits nothing more,
	single.now += 2 * election
	single.run(replica.Message{Kind: replica.RequestVote, From: member("c").ID, Address: member("c").Address, Term: 7, Index: 2, LogTerm: 1})
	single.run()
	// then its snapshot still has the term of that entry.
	found := single.recovered()
	if found.HardState.Term != 7 {
		t.Fatalf("the hard state has term %d, want 7", found.HardState.Term)
	}
	if found.Snapshot == nil || found.Snapshot.Index != 2 || found.Snapshot.Term != 1 {
		t.Fatalf("the snapshot is %+v, want one up to entry 2 of term 1", found.Snapshot)
	}
}

func TestCompact_RemainingEntries_DoNotMakeNextCompactionDue(t *testing.T) {
	// Given a member whose uncommitted entries alone exceed the compaction threshold,
	single := newSingle(t, 4096, "a", "b", "c")
	single.run(appendEntries(1, 0, 0, 1, command(1, 1, "x"), command(2, 1, strings.Repeat("y", 8192))))
	single.run()
	before := single.disk.Counts()
	// when only short entries are saved after the first compaction,
	for index := uint64(3); index < 13; index++ {
		single.run(appendEntries(1, index-1, 1, index-2, command(index, 1, "z")))
	}
	// then the long entry isn't written again by further compactions.
	if written := single.disk.Counts().BytesWritten - before.BytesWritten; written > 8192 {
		t.Fatalf("saving 10 short entries wrote %d bytes, want 8192 at most", written)
	}
}

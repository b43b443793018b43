package group_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/replica"
)

func TestCompact_LaterTermSeen_SnapshotKeepsTermOfItsLastEntry(t *testing.T) {
	// Given a member that has replaced its log by a snapshot up to an entry of term 1,
	single := newSingle(t, 1, "a", "b", "c")
	single.run(appendEntries(1, 0, 0, 2, command(1, 1, "x"), command(2, 1, "y")))
	single.run()
	// when it sees a later term, and nothing is committed since,
	single.now += 2 * election
	single.run(replica.Message{Kind: replica.RequestVote, From: member("c").ID, Address: member("c").Address, Term: 7, Index: 2, LogTerm: 1})
	single.run()
	// then its snapshot still ends with an entry of term 1.
	found := single.recovered()
	if found.HardState.Term != 7 {
		t.Fatalf("the hard state is of term %d, want 7", found.HardState.Term)
	}
	if found.Snapshot == nil || found.Snapshot.Index != 2 || found.Snapshot.Term != 1 {
		t.Fatalf("the snapshot is %+v, want one up to entry 2 of term 1", found.Snapshot)
	}
}

func TestCompact_RemainingEntries_DoNotMakeNextCompactionDue(t *testing.T) {
	// Given a member whose entries that aren't committed take more than the bound,
	single := newSingle(t, 4096, "a", "b", "c")
	single.run(appendEntries(1, 0, 0, 1, command(1, 1, "x"), command(2, 1, strings.Repeat("y", 8192))))
	single.run()
	before := single.disk.Counts()
	// when little is saved from then on,
	for index := uint64(3); index < 13; index++ {
		single.run(appendEntries(1, index-1, 1, index-2, command(index, 1, "z")))
	}
	// then each iteration writes little.
	if written := single.disk.Counts().BytesWritten - before.BytesWritten; written > 8192 {
		t.Fatalf("10 short entries made the member write %d bytes", written)
	}
}

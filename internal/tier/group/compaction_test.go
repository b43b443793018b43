package group_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/replica"
)

func TestCompact_LaterTermSeen_SnapshotKeepsTermOfItsLastEntry(t *testing.T) {
	// Given a member that has replaced its log by a snapshot up to an entry of term 1,
	s := newSingle(t, 1, "a", "b", "c")
	s.run(appendEntries(1, 0, 0, 2, command(1, 1, "x"), command(2, 1, "y")))
	s.run()
	// when it sees a later term, and nothing is committed since,
	s.now += 2 * election
	s.run(replica.Message{Kind: replica.RequestVote, From: member("c").ID, Address: member("c").Address, Term: 7, Index: 2, LogTerm: 1})
	s.run()
	// then its snapshot still ends with an entry of term 1.
	found := s.recovered()
	if found.HardState.Term != 7 {
		t.Fatalf("the hard state is of term %d, want 7", found.HardState.Term)
	}
	if found.Snapshot == nil || found.Snapshot.Index != 2 || found.Snapshot.Term != 1 {
		t.Fatalf("the snapshot is %+v, want one up to entry 2 of term 1", found.Snapshot)
	}
}

func TestCompact_RemainingEntries_DoNotMakeNextCompactionDue(t *testing.T) {
	// Given a member whose entries that aren't committed take more than the bound,
	s := newSingle(t, 4096, "a", "b", "c")
	s.run(appendEntries(1, 0, 0, 1, command(1, 1, "x"), command(2, 1, strings.Repeat("y", 8192))))
	s.run()
	before := s.disk.Counts()
	// when little is saved from then on,
	for index := uint64(3); index < 13; index++ {
		s.run(appendEntries(1, index-1, 1, index-2, command(index, 1, "z")))
	}
	// then each iteration writes little.
	if written := s.disk.Counts().BytesWritten - before.BytesWritten; written > 8192 {
		t.Fatalf("10 short entries made the member write %d bytes", written)
	}
}

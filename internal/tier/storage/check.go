package storage

import (
	"fmt"

	"mastusher/internal/tier/replica"
)

// checkReady checks that a Ready is consistent with what is saved, and returns the snapshot index and last index after it. Package
// replica never asks for anything else; the check keeps a bug there from reaching the disk.
func (g *Group) checkReady(ready *replica.Ready) (snapshotIndex, lastIndex uint64, err error) {
	snapshotIndex, lastIndex = g.snapshotIndex, g.lastIndex
	if ready.HardState != nil {
		if err = checkHardState(g.hardState, *ready.HardState); err != nil {
			return 0, 0, err
		}
	}
	if ready.Snapshot != nil {
		snapshotIndex, lastIndex = ready.Snapshot.Index, ready.Snapshot.Index
	}
	if ready.TruncateFrom > 0 {
		if ready.TruncateFrom <= snapshotIndex {
			return 0, 0, fmt.Errorf("%w: truncation from entry %d, but the snapshot contains the entries up to %d", ErrInvalidChange, ready.TruncateFrom, snapshotIndex)
		}
		lastIndex = min(lastIndex, ready.TruncateFrom-1)
	}
	lastIndex, err = checkContiguous(lastIndex, ready.Entries)
	return snapshotIndex, lastIndex, err
}

// checkCompaction returns an error if a compaction would lose saved entries, or its hard state contradicts the saved one.
func (g *Group) checkCompaction(snapshot *replica.Snapshot, remaining []replica.Entry, state replica.HardState) error {
	if err := checkHardState(g.hardState, state); err != nil {
		return fmt.Errorf("compaction: %w", err)
	}
	last, err := checkContiguous(snapshot.Index, remaining)
	if err != nil {
		return fmt.Errorf("compaction: %w", err)
	}
	if snapshot.Index < g.snapshotIndex || last < g.lastIndex {
		return fmt.Errorf("compaction: %w: snapshot at %d and log to %d would lose entries, saved are a snapshot at %d and a log to %d",
			ErrInvalidChange, snapshot.Index, last, g.snapshotIndex, g.lastIndex)
	}
	return nil
}

// checkHardState returns an error for a term below the saved one, or another vote in the same term (Raft section 5.2: a server
// votes at most once per term).
func checkHardState(saved, next replica.HardState) error {
	if next.Term < saved.Term {
		return fmt.Errorf("%w: term %d is lower than the saved term %d", ErrInvalidChange, next.Term, saved.Term)
	}
	if next.Term == saved.Term && saved.Vote != "" && next.Vote != saved.Vote {
		return fmt.Errorf("%w: vote for %q in term %d, but the saved vote in this term is for %q", ErrInvalidChange, next.Vote, next.Term, saved.Vote)
	}
	return nil
}

// checkContiguous returns the index of the last entry, or an error unless the entries directly follow the last index without gaps.
func checkContiguous(last uint64, entries []replica.Entry) (uint64, error) {
	for i := range entries {
		if entries[i].Index != last+1 {
			return 0, fmt.Errorf("%w: entry %d after entry %d", ErrInvalidChange, entries[i].Index, last)
		}
		last++
	}
	return last, nil
}

package storage

import (
	"fmt"

	"mastusher/internal/tier/replica"
)

// checkReady checks that what a step has to save continues what is saved, and returns the indexes that it leads to. Package
// replica never asks for anything else; a mistake there must not reach the disk.
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
			return 0, 0, fmt.Errorf("%w: truncation at %d, within the snapshot up to %d", ErrInvalidChange, ready.TruncateFrom, snapshotIndex)
		}
		lastIndex = min(lastIndex, ready.TruncateFrom-1)
	}
	lastIndex, err = checkContiguous(lastIndex, ready.Entries)
	return snapshotIndex, lastIndex, err
}

// checkCompaction refuses a compaction that would lose something saved.
func (g *Group) checkCompaction(snapshot *replica.Snapshot, remaining []replica.Entry, state replica.HardState) error {
	if err := checkHardState(g.hardState, state); err != nil {
		return fmt.Errorf("compaction: %w", err)
	}
	last, err := checkContiguous(snapshot.Index, remaining)
	if err != nil {
		return fmt.Errorf("compaction: %w", err)
	}
	if snapshot.Index < g.snapshotIndex || last < g.lastIndex {
		return fmt.Errorf("compaction: %w: from %d to %d would lose entries from %d to %d",
			ErrInvalidChange, snapshot.Index, last, g.snapshotIndex, g.lastIndex)
	}
	return nil
}

// checkHardState refuses a term below the saved one, and another vote in the same term (Raft section 5.2: one vote a term).
func checkHardState(saved, next replica.HardState) error {
	if next.Term < saved.Term {
		return fmt.Errorf("%w: term %d after term %d", ErrInvalidChange, next.Term, saved.Term)
	}
	if next.Term == saved.Term && saved.Vote != "" && next.Vote != saved.Vote {
		return fmt.Errorf("%w: vote for %q in term %d after one for %q", ErrInvalidChange, next.Vote, next.Term, saved.Vote)
	}
	return nil
}

// checkContiguous refuses entries that don't follow the last index without a gap, and returns the index of the last one.
func checkContiguous(last uint64, entries []replica.Entry) (uint64, error) {
	for i := range entries {
		if entries[i].Index != last+1 {
			return 0, fmt.Errorf("%w: entry %d after entry %d", ErrInvalidChange, entries[i].Index, last)
		}
		last++
	}
	return last, nil
}

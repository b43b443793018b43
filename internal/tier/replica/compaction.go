package replica

import "slices"

// compact drops log entries that a saved snapshot covers. It also aborts a snapshot that is being received, because the
// caller has written the saved snapshot over its chunks.
func (r *Replica) compact(snapshot *Snapshot) {
	if snapshot == nil {
		return
	}
	r.incoming = incomingSnapshot{}
	if snapshot.Index > r.applied || snapshot.Index <= r.snapshotIndex() {
		return
	}
	if !r.log.matchTerm(snapshot.Index, snapshot.Term) || len(snapshot.Members) == 0 {
		return
	}
	r.snapshot = snapshot
	bytes := r.limits.trailingBytes
	if r.role == leader {
		bytes = max(bytes, r.limits.maxInflightBytes)
	}
	r.log.compact(r.log.compactionIndex(snapshot.Index, r.limits.trailingEntries, bytes))
}

func (r *Replica) snapshotIndex() uint64 {
	if r.snapshot == nil {
		return 0
	}
	return r.snapshot.Index
}

// SnapshotMetadata returns the metadata for a snapshot of the current state: the last entry handed out in
// Ready.CommittedEntries and the members at it. After applying that entry the caller saves the state, sets Chunks in the
// result and passes it to Step as Input.Compact.
func (r *Replica) SnapshotMetadata() Snapshot {
	term, _ := r.log.termAt(r.applied)
	return Snapshot{Index: r.applied, Term: term, Members: slices.Clone(r.configurations.at(r.applied).members)}
}

// withoutState returns a copy of the snapshot without its state, which is on disk and in the state machine and need not be
// kept in memory.
func withoutState(snapshot *Snapshot) *Snapshot {
	metadata := *snapshot
	metadata.State = nil
	return &metadata
}

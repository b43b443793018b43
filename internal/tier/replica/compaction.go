package replica

import "slices"

// compact drops entries that a saved snapshot stands for. The saved snapshot is where the chunks of one that was being
// received were written, so that one is given up.
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

// SnapshotMetadata names the last entry handed out as committed, for a snapshot: the caller writes the state after applying
// that entry, and hands the result to Step as Input.Compact with Chunks set.
func (r *Replica) SnapshotMetadata() Snapshot {
	term, _ := r.log.termAt(r.applied)
	return Snapshot{Index: r.applied, Term: term, Members: slices.Clone(r.configurations.at(r.applied).members)}
}

// withoutState returns what a member needs to remember of a snapshot: the state is on disk and in the state machine.
func withoutState(snapshot *Snapshot) *Snapshot {
	light := *snapshot
	light.State = nil
	return &light
}

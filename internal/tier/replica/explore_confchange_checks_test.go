package replica

import (
	"fmt"
	"slices"
)

// checkLeader demands that a leader has all that was committed in earlier terms, and that a member on which nothing depends any
// more does not lead.
func (w *changeWorld) checkLeader(i int) {
	r := w.members[i].replica
	if r.role != leader {
		return
	}
	for _, entry := range w.committed {
		if entry.committedIn < r.hardState.Term && entry.Index > r.snapshotIndex() && !r.log.matchTerm(entry.Index, entry.Term) {
			w.violation = fmt.Sprintf("%s leads term %d without entry %v", r.options.ID, r.hardState.Term, entry)
		}
	}
	if w.finished > 0 && i == atC && r.hardState.Term > w.finished {
		w.violation = "c leads the group after nothing depended on it"
	}
}

// confirm takes notice of a read that a majority has confirmed, as a store's report on its groups asks for one. A group that
// is then complete without c, with its target members, needs c no more.
func (w *changeWorld) confirm(i int, outcomes []Outcome) {
	m := &w.members[i]
	for _, outcome := range outcomes {
		if outcome.Token != readToken || !m.reading {
			continue
		}
		m.reading = false
		after := m.replica.Status()
		if outcome.Done && isConfirmed(m.asked, after) && isCompleteWithoutC(after) && w.finished == 0 {
			w.finished = after.Term
			w.checkCopies()
		}
	}
}

const readToken = 1 << 40

// isConfirmed is what a store's report demands, see store.shard.
func isConfirmed(before, after Status) bool {
	return after.IsLeader && after.Term == before.Term && after.Commit >= before.LastIndex && slices.Equal(before.Members, after.Members)
}

// isCompleteWithoutC is what decommission.IsEmptied demands of a group.
func isCompleteWithoutC(status Status) bool {
	if len(status.Members) != 3 {
		return false
	}
	for _, member := range status.Members {
		if member.ID == "c" || member.Learner || !status.CaughtUp[member.ID] {
			return false
		}
	}
	return true
}

// checkCopies demands that each committed entry is on the disks of a majority of those that stay.
func (w *changeWorld) checkCopies() {
	for _, entry := range w.committed {
		copies := 0
		for _, i := range []int{atA, atB, atD} {
			if diskHasEntry(w.members[i].disk, entry.Entry) {
				copies++
			}
		}
		if copies < 2 {
			w.violation = fmt.Sprintf("nothing depends on c, and entry %v is on %d of the other disks", entry, copies)
		}
	}
}

func diskHasEntry(disk Recovered, entry Entry) bool {
	if disk.Snapshot != nil && disk.Snapshot.Index >= entry.Index {
		return true
	}
	return slices.ContainsFunc(disk.Entries, func(e Entry) bool { return e.Index == entry.Index && e.Term == entry.Term })
}

package replica

import (
	"fmt"
	"slices"
)

// checkLeader checks that a leader has all entries that were committed in earlier terms, and that c does not lead in a later
// term after the group was confirmed to be complete without it.
func (s *confChangeState) checkLeader(i int) {
	r := s.members[i].replica
	if r.role != leader {
		return
	}
	for _, entry := range s.committed {
		if entry.committedIn < r.hardState.Term && entry.Index > r.snapshotIndex() && !r.log.matchTerm(entry.Index, entry.Term) {
			s.violation = fmt.Sprintf("%s leads term %d without the committed entry %v", r.options.ID, r.hardState.Term, entry)
		}
	}
	if s.replacedInTerm > 0 && i == indexC && r.hardState.Term > s.replacedInTerm {
		s.violation = "c leads a later term although the group was confirmed to be complete without it"
	}
}

// confirm handles the outcome of a read with which a leader confirms its status, as a store does before it reports on its
// groups. If the confirmed group is complete without c, c may be shut down from then on.
func (s *confChangeState) confirm(i int, outcomes []Outcome) {
	m := &s.members[i]
	for _, outcome := range outcomes {
		if outcome.Token != readToken || !m.readPending {
			continue
		}
		m.readPending = false
		after := m.replica.Status()
		if outcome.Done && isConfirmed(m.statusBeforeRead, after) && isCompleteWithoutC(after) && s.replacedInTerm == 0 {
			s.replacedInTerm = after.Term
			s.checkReplication()
		}
	}
}

const readToken = 1 << 40

// isConfirmed is the condition under which a store reports a status, see store.shard.
func isConfirmed(before, after Status) bool {
	return after.IsLeader && after.Term == before.Term && after.Commit >= before.LastIndex && slices.Equal(before.Members, after.Members)
}

// isCompleteWithoutC is the condition that decommission.IsEmptied requires of a group.
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

// checkReplication checks that each committed entry is on the disks of a majority of the members other than c.
func (s *confChangeState) checkReplication() {
	for _, entry := range s.committed {
		copies := 0
		for _, i := range []int{indexA, indexB, indexD} {
			if diskHasEntry(s.members[i].disk, entry.Entry) {
				copies++
			}
		}
		if copies < 2 {
			s.violation = fmt.Sprintf("the group is complete without c, but entry %v is on only %d of the other disks", entry, copies)
		}
	}
}

func diskHasEntry(disk Recovered, entry Entry) bool {
	if disk.Snapshot != nil && disk.Snapshot.Index >= entry.Index {
		return true
	}
	return slices.ContainsFunc(disk.Entries, func(e Entry) bool { return e.Index == entry.Index && e.Term == entry.Term })
}

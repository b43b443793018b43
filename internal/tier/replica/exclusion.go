package replica

import "time"

// A leader sends only to members of the group, so a member that was removed while it was down or partitioned does not hear
// of it from the leader. It keeps its old configuration and requests votes from that configuration's voters. A voter that
// rejects such a request names, in its response, a committed entry at which the member was no longer in the group. The
// voting rules are not affected: a removed member still grants votes. A member that knows of its removal no longer campaigns
// and reports no members. Like a member that was never in a group, it sends PreVote requests at intervals to check whether
// it is still outside; Status names the member that last confirmed it.

// exclusionReporterElectionTimeouts is the number of election timeouts for which the member that last reported the exclusion
// counts as running. An excluded member asks again within two.
const exclusionReporterElectionTimeouts = 4

// exclusion is what a member knows of its removal from the group.
type exclusion struct {
	at         EntryID       // newest committed entry at which it is known not to be a member; zero: none
	reportedBy string        // ID of the member that last reported the exclusion
	reportedAt time.Duration // when the last report arrived
}

// exclusionOf returns the newest committed entry known here, if neither the configuration in force at it nor a later one in
// the log includes the member with the given ID; otherwise nil.
func (r *Replica) exclusionOf(id string) *EntryID {
	for i := range r.configurations {
		if r.configurations[i].find(id) != nil {
			return nil
		}
	}
	term, known := r.log.termAt(r.commit)
	if !known || r.commit == 0 {
		return nil
	}
	return &EntryID{Index: r.commit, Term: term}
}

// learnExclusion records that this member was not in the group at the committed entry that a rejection names, if it names
// one.
func (r *Replica) learnExclusion(response *Message) {
	entry := response.ExcludedAt
	if entry == nil {
		return
	}
	if entry.Index > r.exclusion.at.Index {
		r.exclusion.at = *entry
	}
	r.exclusion.reportedBy, r.exclusion.reportedAt = response.From, r.now
	if r.role == preCandidate && r.isExcluded() {
		r.role = follower
		r.votesGranted = nil
	}
}

// isExcluded reports whether this member was removed from the group without receiving the entry that removed it. Once its
// log holds the committed entry at which it was not a member, its own configurations are used again, because the log then
// also shows whether it was added later. Until then no quorum depends on its vote: a member that is added again gets a vote
// only after it has caught up.
func (r *Replica) isExcluded() bool {
	return r.exclusion.at.Index > r.commit && !r.log.matchTerm(r.exclusion.at.Index, r.exclusion.at.Term)
}

// isKnownNonMember reports whether this member knows that it is in no group: either it was removed, or it has no
// configuration. A member without a configuration counts only if it has contacts that it can ask.
func (r *Replica) isKnownNonMember() bool {
	return r.isExcluded() || len(r.contacts) > 0 && len(r.configurations.latest().members) == 0
}

// exclusionReporter returns the ID of the member that recently reported the exclusion, or an empty string if none did.
func (r *Replica) exclusionReporter() string {
	if r.now-r.exclusion.reportedAt > exclusionReporterElectionTimeouts*r.options.ElectionTimeout {
		return ""
	}
	return r.exclusion.reportedBy
}

// checkMembership checks whether this member is still outside the group. It sends PreVote requests but does not become a
// candidate.
func (r *Replica) checkMembership() {
	r.resetElectionTimer()
	r.electionDeadline = max(r.electionDeadline, r.now+r.options.ElectionTimeout)
	r.requestPreVotes()
}

// setContacts sets the processes that may know the group. Nil leaves them unchanged.
func (r *Replica) setContacts(contacts []Member) {
	if contacts != nil {
		r.contacts = contacts
	}
}

// contactAddress returns the address of the contact with the given ID, or an empty string if there is none.
func (r *Replica) contactAddress(id string) string {
	for i := range r.contacts {
		if r.contacts[i].ID == id {
			return r.contacts[i].Address
		}
	}
	return ""
}

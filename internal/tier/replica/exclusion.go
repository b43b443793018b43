package replica

import "time"

// A member that was removed while it was down or partitioned isn't told by the leader, which sends to members alone. It goes on
// by the configuration that it knows and asks that one's voters for their votes; a voter that rejects it tells it, in its
// response, up to which committed entry it has left. Votes stay as they are: a member that was removed still grants them, and
// one that knows of its removal asks for none, and reports no members. It and a member that never was in a group ask at
// intervals whether that is still so, which tells their callers who is in.

// informantElectionTimeouts is the number of election timeouts for which the member that told of the removal counts as running.
// A member that was removed asks again within two.
const informantElectionTimeouts = 4

// exclusion is what a member knows of its removal from the group.
type exclusion struct {
	at     EntryID       // newest committed entry at which it is known to be outside; zero: none
	toldBy string        // the member that told it last
	toldAt time.Duration // when that was
}

// exclusionOf is the newest committed entry that this member knows, if neither the members in force at it nor any later ones
// that it knows include that identity; else nil.
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

// learnExclusion records that this member isn't in the group at a committed entry.
func (r *Replica) learnExclusion(response *Message) {
	entry := response.ExcludedAt
	if entry == nil {
		return
	}
	if entry.Index > r.exclusion.at.Index {
		r.exclusion.at = *entry
	}
	r.exclusion.toldBy, r.exclusion.toldAt = response.From, r.now
	if r.role == preCandidate && r.isExcluded() {
		r.role = follower
		r.votesGranted = nil
	}
}

// isExcluded tells whether this member has been removed from the group without having the entry that did so. Once its log holds
// the committed entry at which it was outside, its own configurations decide again: the log tells whether it was added later.
// While it doesn't, nobody depends on its vote: a member that is added anew gets one only when it has caught up.
func (r *Replica) isExcluded() bool {
	return r.exclusion.at.Index > r.commit && !r.log.matchTerm(r.exclusion.at.Index, r.exclusion.at.Term)
}

// isOutside tells whether this member knows that it is in no group: it was removed, or never was in one. The latter matters only
// to one that can ask somebody.
func (r *Replica) isOutside() bool {
	return r.isExcluded() || len(r.contacts) > 0 && len(r.configurations.latest().members) == 0
}

// informant is the member that lately told this one of its removal; empty if none did.
func (r *Replica) informant() string {
	if r.now-r.exclusion.toldAt > informantElectionTimeouts*r.options.ElectionTimeout {
		return ""
	}
	return r.exclusion.toldBy
}

// inquire asks whether this member is still outside, by a PreVote that begins no campaign.
func (r *Replica) inquire() {
	r.resetElectionTimer()
	r.electionDeadline = max(r.electionDeadline, r.now+r.options.ElectionTimeout)
	r.requestPreVotes()
}

// setContacts takes over the processes that may know the group.
func (r *Replica) setContacts(contacts []Member) {
	if contacts != nil {
		r.contacts = contacts
	}
}

// contactAddress is the address of the contact of that identity; empty if there is none.
func (r *Replica) contactAddress(id string) string {
	for i := range r.contacts {
		if r.contacts[i].ID == id {
			return r.contacts[i].Address
		}
	}
	return ""
}

package replica

import (
	"slices"
	"time"
)

// Status is a member's view of its group.
type Status struct {
	ID                string
	Term              uint64
	Leader            string          // identity of the leader; empty: not known
	IsLeader          bool            // this member leads, and has committed an entry of its own term
	LeaderLastContact time.Duration   // when another member that leads was last heard, by the clock that Step is given
	Members           []Member        // of the latest configuration in the log, committed or not; none: this member is in no group
	Informant         string          // without Members: the member that lately told this one that it is in no group; empty: none
	Commit            uint64          // last entry known to be committed
	LastIndex         uint64          // last entry of the log
	CaughtUp          map[string]bool // at the leader: identities of the members that have all but the newest entries
}

// OtherAddresses lists the addresses of the other members.
func (s *Status) OtherAddresses() []string {
	var addresses []string
	for i := range s.Members {
		if s.Members[i].ID != s.ID {
			addresses = append(addresses, s.Members[i].Address)
		}
	}
	return addresses
}

// Status returns this member's view of its group.
func (r *Replica) Status() Status {
	status := Status{
		ID:                r.options.ID,
		Term:              r.hardState.Term,
		Leader:            r.leader.id,
		LeaderLastContact: r.leader.lastContact,
		IsLeader:          r.IsLeader(),
		Members:           slices.Clone(r.configurations.latest().members),
		Commit:            r.commit,
		LastIndex:         r.log.lastIndex(),
	}
	if r.isExcluded() {
		status.Members = nil
	}
	if r.isOutside() {
		status.Informant = r.informant()
	}
	if r.role == leader {
		status.Leader = r.options.ID
		status.CaughtUp = r.caughtUpMembers()
	}
	return status
}

// IsLeader tells whether this member leads and has committed an entry of its own term. Before that it may not know yet all
// that was committed in earlier terms.
func (r *Replica) IsLeader() bool {
	return r.role == leader && r.hasCommittedInTerm()
}

// Address returns where the member of that identity is reached; empty when it is not known. A member that is being removed
// is still looked up in the older configurations.
func (r *Replica) Address(id string) string {
	for i := len(r.configurations) - 1; i >= 0; i-- {
		if member := r.configurations[i].find(id); member != nil {
			return member.Address
		}
	}
	if id == r.leader.id {
		return r.leader.address
	}
	return r.contactAddress(id)
}

package replica

import (
	"slices"
	"time"
)

// Status is a member's view of its group.
type Status struct {
	ID                string
	Term              uint64
	Leader            string          // ID of the leader; empty: unknown
	IsLeader          bool            // this member leads and has committed an entry of its own term
	LeaderLastContact time.Duration   // last contact from a leader other than this member, on the clock passed to Step
	Members           []Member        // latest configuration in the log, committed or not; empty: this member is in no group
	ExclusionReporter string          // if Members is empty: ID of the member that recently reported this; empty: none
	Commit            uint64          // index of the last entry known to be committed
	LastIndex         uint64          // index of the last entry in the log
	CaughtUp          map[string]bool // on the leader: IDs of the members that have all but the newest entries
}

// OtherAddresses returns the addresses of the other members.
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
	if r.isKnownNonMember() {
		status.ExclusionReporter = r.exclusionReporter()
	}
	if r.role == leader {
		status.Leader = r.options.ID
		status.CaughtUp = r.caughtUpMembers()
	}
	return status
}

// IsLeader reports whether this member leads and has committed an entry of its own term. Before that commit it may not know
// all entries that were committed in earlier terms.
func (r *Replica) IsLeader() bool {
	return r.role == leader && r.hasCommittedInTerm()
}

// Address returns the address of the member with the given ID, or an empty string if it is unknown. Older configurations are
// searched too, for members that are being removed.
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

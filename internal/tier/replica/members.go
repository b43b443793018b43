package replica

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// group is the list of members from the entry at index on.
type group struct {
	index   uint64
	members []Member
	voters  int
}

func newGroup(index uint64, members []Member) group {
	voters := 0
	for i := range members {
		if !members[i].Learner {
			voters++
		}
	}
	return group{index: index, members: members, voters: voters}
}

// find is the member of that identity, or nil.
func (g *group) find(id string) *Member {
	for i := range g.members {
		if g.members[i].ID == id {
			return &g.members[i]
		}
	}
	return nil
}

// votes tells whether the member of that identity has a vote.
func (g *group) votes(id string) bool {
	member := g.find(id)
	return member != nil && !member.Learner
}

// majority is the number of voters that decide.
func (g *group) majority() int {
	return g.voters/2 + 1
}

// groupHistory holds the group of the last committed entry and those of the later entries, in order. It is never empty.
type groupHistory []group

// newest is the group in force: a list counts from the moment its entry is in the log.
func (h groupHistory) newest() *group {
	return &h[len(h)-1]
}

// at is the group that was in force at index, or nil when that is forgotten.
func (h groupHistory) at(index uint64) *group {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= index {
			return &h[i]
		}
	}
	return nil
}

// votes tells whether the member has a vote in any group that may still be in force.
func (h groupHistory) votes(id string) bool {
	for i := range h {
		if h[i].votes(id) {
			return true
		}
	}
	return false
}

// truncate forgets the groups of entries from index on.
func (h groupHistory) truncate(index uint64) groupHistory {
	kept := len(h)
	for kept > 1 && h[kept-1].index >= index {
		kept--
	}
	return h[:kept:kept]
}

// committed forgets the groups before the one of the committed index.
func (h groupHistory) committed(index uint64) groupHistory {
	first := 0
	for first+1 < len(h) && h[first+1].index <= index {
		first++
	}
	return h[first:]
}

// extend adds the groups of the membership entries.
func (h groupHistory) extend(entries []Entry) (groupHistory, error) {
	for i := range entries {
		if entries[i].Kind != ConfChange {
			continue
		}
		var members []Member
		if err := json.Unmarshal(entries[i].Data, &members); err != nil {
			return h, trace.BadParameter("members in entry %d: %v", entries[i].Index, err)
		}
		h = append(h, newGroup(entries[i].Index, members))
	}
	return h, nil
}

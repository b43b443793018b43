package replica

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// configuration is the membership of the group from the entry at index on.
type configuration struct {
	index   uint64 // of the entry that introduced it; 0: the initial members
	members []Member
	voters  int // number of members that are not learners
}

func newConfiguration(index uint64, members []Member) configuration {
	voters := 0
	for i := range members {
		if !members[i].Learner {
			voters++
		}
	}
	return configuration{index: index, members: members, voters: voters}
}

// find returns the member with the given ID, or nil.
func (c *configuration) find(id string) *Member {
	for i := range c.members {
		if c.members[i].ID == id {
			return &c.members[i]
		}
	}
	return nil
}

// isVoter reports whether the member with the given ID has a vote.
func (c *configuration) isVoter(id string) bool {
	member := c.find(id)
	return member != nil && !member.Learner
}

// quorumSize returns the number of voters that form a majority.
func (c *configuration) quorumSize() int {
	return c.voters/2 + 1
}

// configurationHistory holds the configuration in force at the last committed entry and those introduced by later entries,
// in order. It is never empty.
type configurationHistory []configuration

// latest returns the configuration in force. A configuration takes effect when its entry is appended, committed or not.
func (h configurationHistory) latest() *configuration {
	return &h[len(h)-1]
}

// at returns the configuration in force at the given index, or nil if it has been discarded.
func (h configurationHistory) at(index uint64) *configuration {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= index {
			return &h[i]
		}
	}
	return nil
}

// isVoter reports whether the member has a vote in any configuration that may still be in force.
func (h configurationHistory) isVoter(id string) bool {
	for i := range h {
		if h[i].isVoter(id) {
			return true
		}
	}
	return false
}

// truncate drops the configurations introduced by entries from index on. It always keeps the first one.
func (h configurationHistory) truncate(index uint64) configurationHistory {
	remaining := len(h)
	for remaining > 1 && h[remaining-1].index >= index {
		remaining--
	}
	return h[:remaining:remaining]
}

// discardBefore drops the configurations that were replaced at or before the given committed index.
func (h configurationHistory) discardBefore(index uint64) configurationHistory {
	first := 0
	for first+1 < len(h) && h[first+1].index <= index {
		first++
	}
	return h[first:]
}

// extend adds the configurations that the given entries introduce.
func (h configurationHistory) extend(entries []Entry) (configurationHistory, error) {
	for i := range entries {
		if entries[i].Kind != ConfChange {
			continue
		}
		var members []Member
		if err := json.Unmarshal(entries[i].Data, &members); err != nil {
			return h, trace.BadParameter("configuration entry %d does not hold a JSON list of members: %v", entries[i].Index, err)
		}
		h = append(h, newConfiguration(entries[i].Index, members))
	}
	return h, nil
}

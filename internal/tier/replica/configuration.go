package replica

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// configuration is the list of members from the entry at index on.
type configuration struct {
	index   uint64 // of the entry from which on it is in force; 0: from the start
	members []Member
	voters  int // number of members that are no learners
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

// find is the member of that identity, or nil.
func (c *configuration) find(id string) *Member {
	for i := range c.members {
		if c.members[i].ID == id {
			return &c.members[i]
		}
	}
	return nil
}

// isVoter tells whether the member of that identity has a vote.
func (c *configuration) isVoter(id string) bool {
	member := c.find(id)
	return member != nil && !member.Learner
}

// quorumSize is the number of voters that decide.
func (c *configuration) quorumSize() int {
	return c.voters/2 + 1
}

// configurationHistory holds the configuration of the last committed entry and those of later entries, in order. It is
// never empty.
type configurationHistory []configuration

// latest is the configuration in force: one is from the moment that its entry is in the log.
func (h configurationHistory) latest() *configuration {
	return &h[len(h)-1]
}

// at is the configuration that was in force at index, or nil when that is forgotten.
func (h configurationHistory) at(index uint64) *configuration {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].index <= index {
			return &h[i]
		}
	}
	return nil
}

// isVoter tells whether the member has a vote in any configuration that may still be in force.
func (h configurationHistory) isVoter(id string) bool {
	for i := range h {
		if h[i].isVoter(id) {
			return true
		}
	}
	return false
}

// truncate forgets the configurations of entries from index on. The first one is never forgotten.
func (h configurationHistory) truncate(index uint64) configurationHistory {
	remaining := len(h)
	for remaining > 1 && h[remaining-1].index >= index {
		remaining--
	}
	return h[:remaining:remaining]
}

// discardBefore forgets the configurations before the one in force at the committed index.
func (h configurationHistory) discardBefore(index uint64) configurationHistory {
	first := 0
	for first+1 < len(h) && h[first+1].index <= index {
		first++
	}
	return h[first:]
}

// extend adds the configurations of the entries that bring one.
func (h configurationHistory) extend(entries []Entry) (configurationHistory, error) {
	for i := range entries {
		if entries[i].Kind != ConfChange {
			continue
		}
		var members []Member
		if err := json.Unmarshal(entries[i].Data, &members); err != nil {
			return h, trace.BadParameter("members in entry %d: %v", entries[i].Index, err)
		}
		h = append(h, newConfiguration(entries[i].Index, members))
	}
	return h, nil
}

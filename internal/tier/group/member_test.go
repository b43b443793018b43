package group_test

import (
	"slices"
	"testing"

	"mastusher/internal/tier/replica"
)

func TestGroup_EmptyMember_ReplacesLostOne(t *testing.T) {
	// Given a group with a leader,
	c := newCluster(t, "a", "b", "c")
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
	// when a member that knows nobody is to take the place of one that is lost,
	lost := c.members[0]
	if lost.Address == c.leader() {
		lost = c.members[1]
	}
	c.isolated[lost.Address] = true
	c.open("d", 9, nil)
	target := append(slices.DeleteFunc(slices.Clone(c.members), func(m replica.Member) bool { return m == lost }), member("d"))
	c.setTargetMembers(target...)
	// then it gets a vote.
	c.runUntil("the new member has a vote", func() bool { return c.isVoter(member("d")) })
}

func TestGroup_MemberBehind_VotesForUnknownCandidate(t *testing.T) {
	// Given a group of which one member doesn't learn that a new one takes the place of another,
	c := newCluster(t, "a", "b", "c")
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
	rest := slices.DeleteFunc(slices.Clone(c.members), func(m replica.Member) bool { return m.Address == c.leader() })
	leader, behind, leaving := c.leader(), rest[0], rest[1]
	leaderMember := c.members[slices.IndexFunc(c.members, func(m replica.Member) bool { return m.Address == leader })]
	c.isolated[behind.Address] = true
	c.open("d", 9, nil)
	c.setTargetMembers(leaderMember, behind, member("d"))
	c.runUntil("the new member has a vote", func() bool { return c.isVoter(member("d")) })
	c.runUntil("the old one has none", func() bool { return !slices.Contains(c.groups[leader].Status().Members, leaving) })
	c.runUntil("the new member knows that", func() bool { return !slices.Contains(c.groups[member("d").Address].Status().Members, leaving) })
	// when only that one and the new one are left,
	c.isolated[leader], c.isolated[leaving.Address] = true, true
	c.isolated[behind.Address] = false
	// then the new one becomes the leader.
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
}

func TestTransferLeadership_Requested_NeedsNoElectionTimeout(t *testing.T) {
	// Given a group with a leader,
	c := newCluster(t, "a", "b", "c")
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
	old := c.leader()
	c.runUntil("the others know it", func() bool {
		for _, address := range c.addresses() {
			if c.groups[address].Status().Leader == "" {
				return false
			}
		}
		return true
	})
	// when that is to hand over,
	began := c.now
	c.groups[old].TransferLeadership()
	// then another one leads the group before an election timeout is over.
	c.runUntil("there is another leader", func() bool { return c.leader() != "" && c.leader() != old })
	if took := c.now - began; took >= election {
		t.Errorf("it took %v, as long as the timeout of %v", took, election)
	}
}

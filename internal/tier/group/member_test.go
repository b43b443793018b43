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
	// when a new member without any state replaces one that is lost,
	lost := c.members[0]
	if lost.Address == c.leader() {
		lost = c.members[1]
	}
	c.isolated[lost.Address] = true
	c.open("d", 9, nil)
	target := append(slices.DeleteFunc(slices.Clone(c.members), func(m replica.Member) bool { return m == lost }), member("d"))
	c.setTargetMembers(target...)
	// then the new member becomes a voter.
	c.runUntil("the new member is a voter", func() bool { return c.isVoter(member("d")) })
}

func TestGroup_MemberBehind_VotesForUnknownCandidate(t *testing.T) {
	// Given a group in which one member, behind, doesn't learn that a new member, d, has replaced another one,
	c := newCluster(t, "a", "b", "c")
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
	rest := slices.DeleteFunc(slices.Clone(c.members), func(m replica.Member) bool { return m.Address == c.leader() })
	leader, behind, leaving := c.leader(), rest[0], rest[1]
	leaderMember := c.members[slices.IndexFunc(c.members, func(m replica.Member) bool { return m.Address == leader })]
	c.isolated[behind.Address] = true
	c.open("d", 9, nil)
	c.setTargetMembers(leaderMember, behind, member("d"))
	c.runUntil("the new member is a voter", func() bool { return c.isVoter(member("d")) })
	c.runUntil("the replaced member is removed from the leader's configuration", func() bool { return !slices.Contains(c.groups[leader].Status().Members, leaving) })
	c.runUntil("the replaced member is removed from the new member's configuration", func() bool { return !slices.Contains(c.groups[member("d").Address].Status().Members, leaving) })
	// when only the member behind and the new member are reachable,
	c.isolated[leader], c.isolated[leaving.Address] = true, true
	c.isolated[behind.Address] = false
	// then the new member becomes the leader.
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
}

func TestTransferLeadership_Requested_NeedsNoElectionTimeout(t *testing.T) {
	// Given a group with a leader,
	c := newCluster(t, "a", "b", "c")
	c.runUntil("there is a leader", func() bool { return c.leader() != "" })
	old := c.leader()
	c.runUntil("all members know the leader", func() bool {
		for _, address := range c.addresses() {
			if c.groups[address].Status().Leader == "" {
				return false
			}
		}
		return true
	})
	// when the leader is asked to transfer the leadership,
	began := c.now
	c.groups[old].TransferLeadership()
	// then another member becomes the leader within less than an election timeout.
	c.runUntil("there is another leader", func() bool { return c.leader() != "" && c.leader() != old })
	if took := c.now - began; took >= election {
		t.Errorf("the transfer took %v, want less than the election timeout of %v", took, election)
	}
}

package node

import "slices"

// reconcileMembers changes the voters step by step to those of the configuration.
func (n *Node) reconcileMembers() {
	if n.engine.InJointConfig() || n.applied.Members[n.engine.ID] == "" || len(n.applied.Roster) == 0 {
		return
	}
	if err := n.proposeMemberChange(); err != nil {
		n.log("proposing membership change failed", "err", err)
	}
}

// proposeMemberChange proposes the next change that is needed: adding a configured voter as a learner that replaces its relay's former
// members, promoting a learner that has caught up, or removing members whose relays are no longer configured as voters.
func (n *Node) proposeMemberChange() error {
	engine := n.engine
	for _, name := range n.config.Voters {
		relay := n.leadership.relays[name]
		if relay == nil || relay.request.Member == 0 || n.now-relay.receivedAt > n.config.Lease {
			continue
		}
		id := relay.request.Member
		switch {
		case n.applied.Members[id] == "":
			return engine.AddLearner(id, name, n.formerMembers(name, id))
		case slices.Contains(engine.Learners(), id) && engine.MatchIndex(id)+promotionLag >= engine.Applied():
			return engine.Promote(id, name)
		}
	}
	var removed []uint64
	for member, name := range n.applied.Members {
		if !slices.Contains(n.config.Voters, name) && member != engine.ID {
			removed = append(removed, member)
		}
	}
	if len(removed) == 0 {
		return nil
	}
	slices.Sort(removed)
	return engine.Remove(removed)
}

// promotionLag is the maximum number of entries that a learner may lack when it is promoted to a voter.
const promotionLag = 8

// formerMembers returns the members of a relay other than its current one, in ascending order.
func (n *Node) formerMembers(name string, current uint64) (former []uint64) {
	for member, relay := range n.applied.Members {
		if relay == name && member != current {
			former = append(former, member)
		}
	}
	slices.Sort(former)
	return former
}

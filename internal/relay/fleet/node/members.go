package node

import "slices"

// reconcileMembers changes the voters to those of the configuration, one change at a time.
func (n *Node) reconcileMembers() {
	if n.engine.InJointConfig() || n.applied.Members[n.engine.ID] == "" || len(n.applied.Roster) == 0 {
		return
	}
	if err := n.proposeMemberChange(); err != nil {
		n.log("proposing membership change failed", "err", err)
	}
}

// proposeMemberChange proposes the next change that is missing: to add a voter of the configuration as a learner, in place of its relay's former
// members, to promote a learner that has caught up, or to remove members that the configuration does not have.
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

// promotionLag is by how many entries a learner's log may be shorter than the leader's when it becomes a voter.
const promotionLag = 8

// formerMembers are the members of a relay other than its current one, in ascending order.
func (n *Node) formerMembers(name string, current uint64) (former []uint64) {
	for member, relay := range n.applied.Members {
		if relay == name && member != current {
			former = append(former, member)
		}
	}
	slices.Sort(former)
	return former
}

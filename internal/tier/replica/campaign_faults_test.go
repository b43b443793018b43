package replica

import (
	"slices"
	"time"
)

// injectFault injects one random fault or other disturbance.
func (c *campaign) injectFault() {
	target := c.pickNode()
	switch c.random.IntN(18) {
	case 0, 1:
		c.kill(target)
		c.startLater(target)
	case 2, 3:
		c.killDuringSync(target)
	case 4:
		c.killAfterAcknowledgement()
	case 5:
		c.killAll()
	case 6:
		c.wipeIfSafe(target)
	case 7:
		c.freeze(target)
		c.after(c.randomDelay(), func() { c.thaw(target) })
	case 8, 9:
		c.isolate(target)
		c.after(c.randomDelay(), c.heal)
	case 10, 11:
		c.partitionOneWay()
		c.after(c.randomDelay(), c.heal)
	case 12:
		c.compactNode(target)
	case 13:
		c.replaceMember()
	case 14:
		for _, other := range c.nodes {
			c.compactNode(other)
		}
	case 15, 16:
		c.setClockRate(target, 0.1)
		c.isolate(target)
		c.after(c.randomDelay(), func() {
			c.setClockRate(target, 1)
			c.heal()
		})
	case 17:
		target.inbox.TransferLeadership = target.alive
		c.wake(target)
	}
}

// injectLeaderFault usually crashes or isolates a random member that considers itself the leader, or makes it transfer its
// leadership. An isolated leader sometimes keeps a link to one other node.
func (c *campaign) injectLeaderFault() {
	claimed := c.claimedLeaders()
	if len(claimed) == 0 {
		return
	}
	n := claimed[c.random.IntN(len(claimed))]
	switch c.random.IntN(6) {
	case 0:
		c.kill(n)
		c.after(c.randomDelay()/2, func() {
			if !n.alive {
				c.start(n)
			}
		})
	case 1:
		c.killDuringSync(n)
	case 2:
		c.isolate(n)
		c.after(c.randomDelay(), c.heal)
	case 3:
		c.isolate(n)
		reachable := c.nodes[c.random.IntN(len(c.nodes))]
		delete(c.partitioned, [2]int{n.slot, reachable.slot})
		delete(c.partitioned, [2]int{reachable.slot, n.slot})
		c.after(c.randomDelay(), c.heal)
	case 4:
		n.inbox.TransferLeadership = true
		c.wake(n)
	}
}

// pickNode returns the leader half of the time, otherwise a random node.
func (c *campaign) pickNode() *node {
	if n := c.leader(); n != nil && c.random.IntN(2) == 0 {
		return n
	}
	return c.nodes[c.random.IntN(len(c.nodes))]
}

func (c *campaign) randomDelay() time.Duration {
	return time.Duration(c.random.Int64N(int64(3 * testElection)))
}

func (c *campaign) startLater(n *node) {
	incarnation := n.incarnation
	c.after(c.randomDelay(), func() {
		if n.incarnation == incarnation && !n.alive {
			c.start(n)
		}
	})
}

// killDuringSync kills the node's process during its next sync that takes time.
func (c *campaign) killDuringSync(n *node) {
	c.onSync = func(syncing *node) {
		if syncing != n || !n.alive {
			return
		}
		c.onSync = nil
		incarnation := n.incarnation
		c.after(time.Duration(c.random.Int64N(int64(c.conditions.syncTime))), func() {
			if n.incarnation == incarnation && n.syncing {
				c.kill(n)
				c.startLater(n)
			}
		})
	}
}

// killAfterAcknowledgement kills the next member that acknowledges a command or a read, right after it has done so.
func (c *campaign) killAfterAcknowledgement() {
	c.onOutcome = func(n *node, outcome Outcome) {
		if outcome.Done {
			c.onOutcome = nil
			c.kill(n)
			c.startLater(n)
		}
	}
}

func (c *campaign) killAll() {
	for _, n := range c.nodes {
		c.kill(n)
		c.startLater(n)
	}
}

func (c *campaign) partitionOneWay() {
	for range 1 + c.random.IntN(4) {
		c.partitioned[[2]int{c.random.IntN(len(c.nodes)), c.random.IntN(len(c.nodes))}] = true
	}
}

// wipeIfSafe wipes a disk and replaces the lost member, unless the group has not yet recovered from an earlier loss or
// change.
func (c *campaign) wipeIfSafe(n *node) {
	if c.keepIDs {
		c.kill(n)
		n.disk = Recovered{}
		c.startLater(n)
		return
	}
	if c.churn || !c.isAtTarget() || c.now-c.lastChange < 4*testElection || c.committedVoters() < 3 {
		return
	}
	old := n.id
	c.wipe(n)
	c.startLater(n)
	c.replaceTargetMember(old, Member{ID: n.id, Address: address(n.slot)})
}

// replaceMember replaces a target member with a spare, or only adds the spare.
func (c *campaign) replaceMember() {
	if c.churn || !c.isAtTarget() || c.now-c.lastChange < 4*testElection {
		return
	}
	spare := c.nodes[c.random.IntN(len(c.nodes))]
	if slices.ContainsFunc(c.targetMembers, func(m Member) bool { return m.ID == spare.id }) {
		return
	}
	leaving := ""
	if c.random.IntN(4) > 0 {
		leaving = c.targetMembers[c.random.IntN(len(c.targetMembers))].ID
	}
	c.replaceTargetMember(leaving, Member{ID: spare.id, Address: address(spare.slot)})
}

// replaceTargetMember replaces one target member with another. With an empty leaving, the joining member is only added; if
// leaving is not a target member, nothing changes.
func (c *campaign) replaceTargetMember(leaving string, joining Member) {
	remaining := slices.DeleteFunc(slices.Clone(c.targetMembers), func(m Member) bool { return m.ID == leaving })
	if leaving != "" && len(remaining) == len(c.targetMembers) {
		return
	}
	c.lastChange = c.now
	c.setTargetMembers(append(remaining, joining))
}

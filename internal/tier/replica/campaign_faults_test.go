package replica

import (
	"slices"
	"time"
)

// injectFault injects one random fault, or another disturbance.
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
		c.setRate(target, 0.1)
		c.isolate(target)
		c.after(c.randomDelay(), func() {
			c.setRate(target, 1)
			c.heal()
		})
	case 17:
		target.inbox.TransferLeadership = target.alive
		c.wake(target)
	}
}

// injectLeaderFault takes the leadership away from whoever has it, and at times leaves it a follower.
func (c *campaign) injectLeaderFault() {
	believers := c.claimedLeaders()
	if len(believers) == 0 {
		return
	}
	n := believers[c.random.IntN(len(believers))]
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
		friend := c.nodes[c.random.IntN(len(c.nodes))]
		delete(c.partitioned, [2]int{n.slot, friend.slot})
		delete(c.partitioned, [2]int{friend.slot, n.slot})
		c.after(c.randomDelay(), c.heal)
	case 4:
		n.inbox.TransferLeadership = true
		c.wake(n)
	}
}

// pickNode picks the leader half of the time, else any node.
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

// killDuringSync ends a process within one of its next syncs.
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

// killAfterAcknowledgement ends the leader right after its next acknowledgement.
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

// wipeIfSafe empties a disk, unless an earlier loss or change is not made up for yet.
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
	c.change(old, Member{ID: n.id, Address: address(n.slot)})
}

// replaceMember puts a spare in place of a member, or takes one more in or out.
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
	c.change(leaving, Member{ID: spare.id, Address: address(spare.slot)})
}

// change wants one member in place of another; an identity that is no target member changes nothing.
func (c *campaign) change(leaving string, joining Member) {
	remaining := slices.DeleteFunc(slices.Clone(c.targetMembers), func(m Member) bool { return m.ID == leaving })
	if leaving != "" && len(remaining) == len(c.targetMembers) {
		return
	}
	c.lastChange = c.now
	c.setTargetMembers(append(remaining, joining))
}

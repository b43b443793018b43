package membership

import "time"

// maxHealthScore bounds Node.health: time-outs are at most one more times as long.
const maxHealthScore = 5

// worsenHealth notes a sign that this node itself, not the others, is slow.
func (n *Node) worsenHealth() { n.awareness = min(n.awareness+1, maxHealthScore) }

// improveHealth notes a sign that this node is well.
func (n *Node) improveHealth() { n.awareness = max(n.awareness-1, 0) }

// scaleTimeout returns a duration as long as the node's health demands.
func (n *Node) scaleTimeout(duration time.Duration) time.Duration {
	return duration * time.Duration(1+n.awareness)
}

// detectLateWake finds out that Step was called long after the time that was asked for: the process was frozen or had no
// processor. What did not arrive meanwhile says nothing about the others, so deadlines move on, and the node reconciles
// before it probes again.
func (n *Node) detectLateWake() {
	late := n.now - n.nextWakeAt
	if late <= n.options.ProbeTimeout {
		return
	}
	n.worsenHealth()
	n.cancelProbes()
	n.indirect = n.indirect[:0]
	for _, suspected := range n.suspects {
		suspected.suspicion.postpone(late)
	}
	n.prober.nextProbe = n.now + n.options.ProbeInterval
	n.pushPull.afterPause = true
}

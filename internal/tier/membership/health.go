package membership

import "time"

// maxHealth bounds Node.health: time-outs are at most one more times as long.
const maxHealth = 5

// worsen notes a sign that this node itself, not the others, is slow.
func (n *Node) worsen() { n.health = min(n.health+1, maxHealth) }

// recover notes a sign that this node is well.
func (n *Node) recover() { n.health = max(n.health-1, 0) }

// widened returns a duration as long as the node's health demands.
func (n *Node) widened(duration time.Duration) time.Duration {
	return duration * time.Duration(1+n.health)
}

// noticeLateness finds out that Step was called long after the time that was asked for: the process was frozen or had no
// processor. What did not arrive meanwhile says nothing about the others, so deadlines move on, and the node reconciles
// before it probes again.
func (n *Node) noticeLateness() {
	late := n.now - n.wake
	if late <= n.options.ProbeTimeout {
		return
	}
	n.worsen()
	n.dropProbes()
	n.relays = n.relays[:0]
	for _, suspected := range n.suspects {
		suspected.suspicion.postpone(late)
	}
	n.prober.next = n.now + n.options.ProbeInterval
	n.reconcile.afterFreeze = true
}

package membership

import "time"

// maxHealthScore bounds the local health score: time-outs are at most one more times as long.
const maxHealthScore = 5

// awareness is the local health multiplier of Lifeguard (LHA-Probe): the score counts signs that this node itself, not the
// others, is slow. 0 is healthy.
type awareness struct{ score int }

// applyDelta adds to the score, within 0 and maxHealthScore.
func (a *awareness) applyDelta(delta int) { a.score = min(max(a.score+delta, 0), maxHealthScore) }

// scaleTimeout multiplies a time-out by one more than the score, so that a slow node blames others later.
func (a *awareness) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+a.score)
}

// detectLateWake finds out that Step was called long after the time that was asked for: the process was frozen or had no
// processor. What did not arrive meanwhile says nothing about the others, so probes are dropped, suspicions get the lost
// time back, and the node must reconcile before it probes again.
func (n *Node) detectLateWake() {
	late := n.now - n.nextWakeAt
	if late <= n.options.ProbeTimeout {
		return
	}
	n.awareness.applyDelta(1)
	n.cancelProbes()
	n.indirect = n.indirect[:0]
	for _, suspected := range n.suspects {
		suspected.suspicion.postpone(late)
	}
	n.prober.nextProbe = n.now + n.options.ProbeInterval
	n.pushPull.resumed = true
}

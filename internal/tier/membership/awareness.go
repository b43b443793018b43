package membership

import "time"

// maxHealthScore bounds the local health score; timeouts are scaled by at most 1 + maxHealthScore.
const maxHealthScore = 5

// awareness is Lifeguard's local health multiplier (LHA-Probe). The score counts signs that this node itself, not the other
// members, is slow; 0 is healthy.
type awareness struct{ score int }

// applyDelta adds delta to the score and clamps it to 0..maxHealthScore.
func (a *awareness) applyDelta(delta int) { a.score = min(max(a.score+delta, 0), maxHealthScore) }

// scaleTimeout multiplies a timeout by 1 + score, so that a slow node waits longer before it suspects other members.
func (a *awareness) scaleTimeout(timeout time.Duration) time.Duration {
	return timeout * time.Duration(1+a.score)
}

// detectLateWake detects that Step was called long after the requested time, because the process was frozen or got no CPU time.
// Missing acks then say nothing about the other members, so pending probes are dropped, the deadlines of suspicions are extended
// by the delay, and the node reconciles its table before it probes again.
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

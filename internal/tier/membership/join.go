package membership

import "time"

// The backoff between attempts to join: doubled from the minimum to the maximum, each drawn between a half and the full
// value.
const (
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = 2 * time.Second
)

// initialSeedProbeInterval is the time between probes of seeds at which no member is known, while the node has recently
// started: groups of members that each joined by other seeds must meet well before a member counts as lost.
const initialSeedProbeInterval = 250 * time.Millisecond

// joiner is the state of the join, and of the probes of seeds after it.
type joiner struct {
	joined        bool
	nextAttempt   time.Duration // until joined
	attempts      int
	seed          int           // index of the next seed, modulo their number; 0: none was tried
	nextSeedProbe time.Duration // when seeds at which no live member is known are pinged
}

// join starts a push-pull with the next seed.
func (n *Node) join() {
	n.joiner.nextAttempt = n.now + max(n.joinBackoff(), 2*n.options.ProbeTimeout)
	n.joiner.attempts++
	if seed := n.nextSeed(); seed != "" {
		n.startPushPull(seed)
	}
}

// joinBackoff draws the time until the next attempt to join.
func (n *Node) joinBackoff() time.Duration {
	const maxDoublings = 5
	backoff := min(minJoinBackoff<<min(n.joiner.attempts, maxDoublings), maxJoinBackoff)
	return backoff/2 + time.Duration(n.random.Int64N(int64(backoff/2)+1))
}

// nextSeed returns the seeds in turn, from a random one on, without this node; empty: there is none.
func (n *Node) nextSeed() string {
	if len(n.seeds) == 0 {
		return ""
	}
	joiner := &n.joiner
	if joiner.seed == 0 {
		joiner.seed = 1 + n.random.IntN(len(n.seeds))
	}
	for range n.seeds {
		seed := n.seeds[joiner.seed%len(n.seeds)]
		joiner.seed++
		if seed != n.self.Address {
			return seed
		}
	}
	return ""
}

// seedProbeInterval draws the time until the next probe of seeds.
func (n *Node) seedProbeInterval() time.Duration {
	if n.recentlyStarted() {
		return n.jittered(initialSeedProbeInterval)
	}
	return n.jittered(n.options.PushPullInterval)
}

// probeUnknownSeeds pings the seeds at whose addresses no live member is known, so that partitions that do not know or
// remember each other meet.
func (n *Node) probeUnknownSeeds() {
	for _, seed := range n.seeds {
		if seed != n.self.Address && !n.isKnownAddress(seed) {
			n.send(seed, Message{Kind: MsgPing})
		}
	}
}

// isKnownAddress reports whether a live member is known at the address.
func (n *Node) isKnownAddress(address string) bool {
	for _, e := range n.table.sorted {
		if e.Address == address && !e.DeadOrLeft() {
			return true
		}
	}
	return false
}

package membership

import "time"

// The backoff between attempts to join doubles from the minimum to the maximum; jitter subtracts up to half.
const (
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = 2 * time.Second
)

// initialSeedProbeInterval is the interval at which a recently started node pings seeds at whose addresses no member is known.
// Groups of members that joined through different seeds must merge well before a missing member is treated as lost.
const initialSeedProbeInterval = 250 * time.Millisecond

// joiner is the state of the join and of the later probes of seeds.
type joiner struct {
	joined        bool
	nextAttempt   time.Duration // when the next push-pull with a seed starts; unused once joined
	attempts      int
	seedIndex     int           // of the next seed, modulo the number of seeds; 0: none was tried
	nextSeedProbe time.Duration // when probeUnknownSeeds runs next
}

// join starts a push-pull with the next seed.
func (n *Node) join() {
	n.joiner.nextAttempt = n.now + max(n.joinBackoff(), 2*n.options.ProbeTimeout)
	n.joiner.attempts++
	if seed := n.nextSeed(); seed != "" {
		n.startPushPull(seed)
	}
}

// joinBackoff returns the randomized time until the next attempt to join.
func (n *Node) joinBackoff() time.Duration {
	const maxDoublings = 5
	backoff := min(minJoinBackoff<<min(n.joiner.attempts, maxDoublings), maxJoinBackoff)
	return backoff/2 + time.Duration(n.random.Int64N(int64(backoff/2)+1))
}

// nextSeed returns the seeds in rotation, starting at a random one and skipping this node; empty if there is no other.
func (n *Node) nextSeed() string {
	if len(n.seeds) == 0 {
		return ""
	}
	joiner := &n.joiner
	if joiner.seedIndex == 0 {
		joiner.seedIndex = 1 + n.random.IntN(len(n.seeds))
	}
	for range n.seeds {
		seed := n.seeds[joiner.seedIndex%len(n.seeds)]
		joiner.seedIndex++
		if seed != n.self.Address {
			return seed
		}
	}
	return ""
}

// seedProbeInterval returns the randomized time until the next probe of seeds.
func (n *Node) seedProbeInterval() time.Duration {
	if n.recentlyStarted() {
		return n.jittered(initialSeedProbeInterval)
	}
	return n.jittered(n.options.PushPullInterval)
}

// probeUnknownSeeds pings the seeds at whose addresses no live member is known, so that partitions whose members have never known
// or have forgotten each other merge.
func (n *Node) probeUnknownSeeds() {
	for _, seed := range n.seeds {
		if seed != n.self.Address && !n.isKnownAddress(seed) {
			n.send(seed, Message{Kind: MsgPing})
		}
	}
}

// isKnownAddress reports whether a live member has the address.
func (n *Node) isKnownAddress(address string) bool {
	for _, e := range n.table.sorted {
		if e.Address == address && !e.DeadOrLeft() {
			return true
		}
	}
	return false
}

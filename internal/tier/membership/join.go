package membership

import "time"

// The pauses between tries to join: the first, doubled up to the longest, each drawn between a half and the whole.
const (
	minJoinBackoff = 100 * time.Millisecond
	maxJoinBackoff = 2 * time.Second
)

// initialSeedProbeInterval is the pause between tries of seeds that aren't known, while the node is young: where each has found other seeds, the
// parts meet well before anybody is taken for lost.
const initialSeedProbeInterval = 250 * time.Millisecond

// join tries the next seed.
func (n *Node) join() {
	r := &n.pushPull
	r.joinAt = n.now + max(n.joinBackoff(), 2*n.options.ProbeTimeout)
	r.joinAttempts++
	if seed := n.nextSeed(); seed != "" {
		n.startPushPull(seed)
	}
}

func (n *Node) joinBackoff() time.Duration {
	const mostDoublings = 5
	pause := min(minJoinBackoff<<min(n.pushPull.joinAttempts, mostDoublings), maxJoinBackoff)
	return pause/2 + time.Duration(n.random.Int64N(int64(pause/2)+1))
}

// nextSeed returns the seeds in turn, from a random one on, without the node itself; empty: there is none.
func (n *Node) nextSeed() string {
	if len(n.seeds) == 0 {
		return ""
	}
	r := &n.pushPull
	if r.seed == 0 {
		r.seed = 1 + n.random.IntN(len(n.seeds))
	}
	for range n.seeds {
		seed := n.seeds[r.seed%len(n.seeds)]
		r.seed++
		if seed != n.self.Address {
			return seed
		}
	}
	return ""
}

// seedProbeInterval is the time until seeds that aren't known are tried again.
func (n *Node) seedProbeInterval() time.Duration {
	if n.recentlyStarted() {
		return n.jittered(initialSeedProbeInterval)
	}
	return n.jittered(n.options.PushPullInterval)
}

// probeUnknownSeeds pings the seeds at whose addresses no member is known to be alive, so that parts that do not know or remember each
// other meet.
func (n *Node) probeUnknownSeeds() {
	for _, seed := range n.seeds {
		if seed != n.self.Address && !n.isKnownAddress(seed) {
			n.send(seed, Message{Kind: MsgPing})
		}
	}
}

// isKnownAddress tells whether a member that isn't gone is known at the address.
func (n *Node) isKnownAddress(address string) bool {
	for _, e := range n.table.sorted {
		if e.Address == address && !e.DeadOrLeft() {
			return true
		}
	}
	return false
}

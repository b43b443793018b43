package membership

import (
	"slices"
	"time"
)

// gossipNodes is how many random members get a gossip message at once when something has changed; the others get the
// updates with the probes.
const gossipNodes = 3

// gossipsPerProbeInterval bounds the rounds of gossip messages per probe interval.
const gossipsPerProbeInterval = 5

// leaveGossipNodes is how many members get a gossip message when this one leaves: it has no later probes to carry that.
const leaveGossipNodes = 6

// broadcast queues an update in place of all older ones about the same member.
func (n *Node) broadcast(queue *transmitLimitedQueue, update Update) {
	n.priority.invalidate(update.Name)
	n.broadcasts.invalidate(update.Name)
	queue.queueBroadcast(update)
}

// gossip sends the queued updates to a few random members at once (SWIM section 4.1 waits for the next probe), at most
// once per gossipInterval.
func (n *Node) gossip() {
	if !n.gossipDue || n.now < n.lastGossip+n.gossipInterval() {
		return
	}
	n.gossipDue = false
	n.lastGossip = n.now
	for _, receiver := range n.randomAlive(gossipNodes, "") {
		n.send(receiver.Address, Message{Kind: MsgGossip, To: receiver.Name})
	}
}

// gossipInterval is the shortest time between two rounds of gossip messages.
func (n *Node) gossipInterval() time.Duration {
	return n.options.ProbeInterval / gossipsPerProbeInterval
}

// randomAlive returns up to count different random members in StateAlive, without the one named. It draws a few times, and
// walks the table from a random place when that did not find enough.
func (n *Node) randomAlive(count int, excluded string) []*entry {
	const drawsPerMember = 4
	chosen := make([]*entry, 0, count)
	all := n.table.sorted
	if len(all) == 0 {
		return chosen
	}
	for range drawsPerMember * count {
		if len(chosen) == count {
			return chosen
		}
		chosen = appendAlive(chosen, all[n.random.IntN(len(all))], excluded)
	}
	offset := n.random.IntN(len(all))
	for i := range all {
		if len(chosen) == count {
			return chosen
		}
		chosen = appendAlive(chosen, all[(offset+i)%len(all)], excluded)
	}
	return chosen
}

// appendAlive appends a candidate that is in StateAlive, not excluded and not chosen yet.
func appendAlive(chosen []*entry, candidate *entry, excluded string) []*entry {
	if candidate.State != StateAlive || candidate.Name == excluded || slices.Contains(chosen, candidate) {
		return chosen
	}
	return append(chosen, candidate)
}

package membership

import (
	"slices"
	"time"
)

// gossipNodes is the number of random members that are sent a gossip message immediately after a change. The other members
// receive the updates piggybacked on probes.
const gossipNodes = 3

// gossipsPerProbeInterval bounds the rounds of gossip messages in one probe interval.
const gossipsPerProbeInterval = 5

// leaveGossipNodes is the number of members that are sent a gossip message when this node leaves, as it sends no further probes.
const leaveGossipNodes = 6

// broadcast queues an update and drops queued older updates about the same member from both queues.
func (n *Node) broadcast(queue *transmitLimitedQueue, update Update) {
	n.priority.invalidate(update.Name)
	n.broadcasts.invalidate(update.Name)
	queue.queueBroadcast(update)
}

// gossip sends the queued updates to a few random members, at most once per gossipInterval. In SWIM (section 4.1) they would wait
// for the next probe.
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

// randomAlive returns up to count distinct random members in StateAlive other than excluded. It samples a few times and, if that
// finds too few, scans the table from a random position.
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

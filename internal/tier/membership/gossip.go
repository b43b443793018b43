package membership

import (
	"slices"
	"time"
)

// gossipNodes is how many members each one tells of news at once. The rest hear of it with the probes.
const gossipNodes = 3

// gossipsPerProbeInterval bounds how often that is done in a probe interval.
const gossipsPerProbeInterval = 5

// leaveGossipNodes is how many members hear at once that this one leaves.
const leaveGossipNodes = 6

// broadcast queues an update in place of all older ones about that member.
func (n *Node) broadcast(queue *transmitLimitedQueue, update Update) {
	n.priority.invalidate(update.Name)
	n.broadcasts.invalidate(update.Name)
	queue.queueBroadcast(update)
}

// gossip tells a few members of news at once, unless that was done a moment ago.
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

func (n *Node) gossipInterval() time.Duration {
	return n.options.ProbeInterval / gossipsPerProbeInterval
}

// randomAlive returns up to count different members that are alive, without the one named.
func (n *Node) randomAlive(count int, without string) []*entry {
	const drawsForEach = 4
	chosen := make([]*entry, 0, count)
	all := n.table.sorted
	if len(all) == 0 {
		return chosen
	}
	for range drawsForEach * count {
		if len(chosen) == count {
			return chosen
		}
		chosen = appendAlive(chosen, all[n.random.IntN(len(all))], without)
	}
	offset := n.random.IntN(len(all))
	for i := range all {
		if len(chosen) == count {
			return chosen
		}
		chosen = appendAlive(chosen, all[(offset+i)%len(all)], without)
	}
	return chosen
}

func appendAlive(chosen []*entry, candidate *entry, without string) []*entry {
	if candidate.State != StateAlive || candidate.Name == without || slices.Contains(chosen, candidate) {
		return chosen
	}
	return append(chosen, candidate)
}

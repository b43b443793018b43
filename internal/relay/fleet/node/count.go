package node

import (
	"time"

	"mastusher/internal/relay/fleet/quota"
)

const (
	countersInterval = 2 * time.Second // between a relay's tallies to the voters
	talliesInterval  = time.Second     // between a voter's tallies to the others
	talliesAtOnce    = 4               // relays whose tallies a voter sends then
)

// sendCounters sends this relay's tally to the voters, and as a voter some other relays' tallies to the other voters. So any voter
// can be asked, and what one has missed, or lost with its process, the others have.
func (n *Node) sendCounters() {
	if n.counters != nil && n.now >= n.nextCountersAt {
		n.nextCountersAt = n.now + countersInterval
		own := []quota.Tally{{Relay: n.config.Name, Generation: n.config.Generation, Counters: quota.EncodeCounters(n.counters)}}
		for _, name := range n.config.Voters {
			n.send(name, &Message{Tallies: own})
		}
		n.mergeTallies(own)
	}
	if n.counterTable == nil || n.now < n.nextTalliesAt {
		return
	}
	n.nextTalliesAt = n.now + talliesInterval
	for _, tally := range n.counterTable.NextTallies(talliesAtOnce) {
		for _, name := range n.config.Voters {
			n.send(name, &Message{Tallies: []quota.Tally{tally}})
		}
	}
}

// mergeTallies merges relays' tallies into a voter's table.
func (n *Node) mergeTallies(all []quota.Tally) {
	for i := range all {
		if n.counterTable != nil {
			n.counterTable.Merge(n.now, &all[i], 4*len(n.newest.Roster)+64)
		}
	}
}

// handleTotals answers a request for totals, or passes the answer on to the operator who waits for it.
func (n *Node) handleTotals(from string, message *CounterTotals) {
	switch {
	case message.Totals == nil && n.counterTable != nil:
		n.send(from, &Message{Totals: &CounterTotals{RequestNumber: message.RequestNumber, Totals: n.counterTable.Totals(n.now)}})
	case message.Totals != nil:
		status := n.Status()
		status.Totals = message.Totals
		n.emit(Action{Answer: status, RequestNumber: message.RequestNumber})
	}
}

// requestTotals answers an operator's request for totals, or asks a voter for them.
func (n *Node) requestTotals(number uint64) {
	if n.counterTable != nil {
		n.handleTotals(n.config.Name, &CounterTotals{RequestNumber: number, Totals: n.counterTable.Totals(n.now)})
	} else if len(n.config.Voters) > 0 { // one that does not answer is asked again, or another is
		n.send(n.config.Voters[n.voterIndex], &Message{Totals: &CounterTotals{RequestNumber: number}})
		n.voterIndex = (n.voterIndex + 1) % len(n.config.Voters)
	}
}

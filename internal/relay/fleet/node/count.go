package node

import (
	"time"

	"mastusher/internal/relay/fleet/quota"
)

const (
	countersInterval   = 2 * time.Second // between two tallies of a relay to the voters
	talliesInterval    = time.Second     // between two exchanges of tallies from a voter to the others
	talliesPerInterval = 4               // relays whose tallies a voter sends in each exchange
)

// sendCounters sends this relay's tally to the voters. A voter also sends tallies of other relays to the other voters, so that any voter
// can answer for all relays and recovers the tallies that it missed, or lost in a restart.
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
	for _, tally := range n.counterTable.NextTallies(talliesPerInterval) {
		for _, name := range n.config.Voters {
			n.send(name, &Message{Tallies: []quota.Tally{tally}})
		}
	}
}

// mergeTallies merges tallies into the table, if this relay is a voter.
func (n *Node) mergeTallies(all []quota.Tally) {
	for i := range all {
		if n.counterTable != nil {
			n.counterTable.Merge(n.now, &all[i], 4*len(n.newest.Roster)+64)
		}
	}
}

// handleTotals answers a request for totals, or forwards an answer to the operator who waits for it.
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

// requestTotals answers an operator's request for totals if this relay is a voter, otherwise it asks one.
func (n *Node) requestTotals(number uint64) {
	if n.counterTable != nil {
		n.handleTotals(n.config.Name, &CounterTotals{RequestNumber: number, Totals: n.counterTable.Totals(n.now)})
	} else if len(n.config.Voters) > 0 { // a client repeats an unanswered request, which then goes to the next voter
		n.send(n.config.Voters[n.voterIndex], &Message{Totals: &CounterTotals{RequestNumber: number}})
		n.voterIndex = (n.voterIndex + 1) % len(n.config.Voters)
	}
}

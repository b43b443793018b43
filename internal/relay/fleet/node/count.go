package node

import (
	"time"

	"mastusher/internal/relay/fleet/quota"
)

const (
	countEvery = 2 * time.Second // a relay tells the voters what it has counted
	talkEvery  = time.Second     // a voter tells the others what it knows of a few relays
	talkOf     = 4
)

// tell tells the voters what this relay has counted, and as a voter the others what it knows: any of them can be asked, and what one
// of them has missed, or lost with its process, the others have.
func (n *Node) tell() {
	if n.counts != nil && n.now >= n.countAt {
		n.countAt = n.now + countEvery
		own := []quota.Tally{{Relay: n.cfg.Name, Generation: n.cfg.Gen, Counters: quota.EncodeCounters(n.counts)}}
		for _, name := range n.cfg.Voters {
			n.send(name, &Message{Tallies: own})
		}
		n.tallied(own)
	}
	if n.book == nil || n.now < n.sayAt {
		return
	}
	n.sayAt = n.now + talkEvery
	for _, t := range n.book.NextTallies(talkOf) {
		for _, name := range n.cfg.Voters {
			n.send(name, &Message{Tallies: []quota.Tally{t}})
		}
	}
}

// tallied takes in what relays have counted.
func (n *Node) tallied(all []quota.Tally) {
	for i := range all {
		if n.book != nil {
			n.book.Merge(n.now, &all[i], 4*len(n.known.Roster)+64)
		}
	}
}

// sums answers what all have counted, or takes the answer that an operator waits for.
func (n *Node) sums(from string, s *Sums) {
	switch {
	case s.N == nil && n.book != nil:
		n.send(from, &Message{Sums: &Sums{No: s.No, N: n.book.Totals(n.now)}})
	case s.N != nil:
		st := n.Status()
		st.Sums = s.N
		n.do(Action{Answer: st, No: s.No})
	}
}

// askSums answers an operator, or has a voter do so.
func (n *Node) askSums(no uint64) {
	if n.book != nil {
		n.sums(n.cfg.Name, &Sums{No: no, N: n.book.Totals(n.now)})
	} else if len(n.cfg.Voters) > 0 { // one that does not answer is asked again, or another is
		n.send(n.cfg.Voters[n.via], &Message{Sums: &Sums{No: no}})
		n.via = (n.via + 1) % len(n.cfg.Voters)
	}
}

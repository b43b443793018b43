package simulator

import "time"

// item is something due at a time. What is due at one time comes in the order in which it was put.
type item struct {
	at   time.Duration
	seq  uint64
	do   what
	a, b int32
}

type what uint8

const (
	doArrive   what = iota // message a comes from a client, at relay b
	doHand                 // message a is handed in at relay b again
	doTurn                 // relay a takes its turn
	doReach                // call a reaches its endpoint
	doServed               // call a has been served; b: its number in that place
	doAnswer               // the answer to call a reaches its relay
	doTimeout              // call a has lasted as long as it may; b: its number in that place
	doTrouble              // trouble a begins (b 1) or ends (b 0)
	doList                 // relay b hears of change a of the list
	doSettle               // endpoint a is looked at, whether it falls
	doNext                 // the next message is drawn
	doRelieved             // endpoint a comes back after a fall
	doPing                 // relay a says what it needs
	doReport               // post a comes to whoever leads
	doAllot                // post a, an answer, comes to its relay
)

// queue is a heap of four children a node, which is flatter than one of two.
type queue struct {
	items []item
	seq   uint64
}

func (q *queue) put(at time.Duration, do what, a, b int32) {
	q.seq++
	it := item{at, q.seq, do, a, b}
	q.items = append(q.items, it)
	i := len(q.items) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !it.before(&q.items[up]) {
			break
		}
		q.items[i] = q.items[up]
		i = up
	}
	q.items[i] = it
}

func (it *item) before(o *item) bool { return it.at < o.at || it.at == o.at && it.seq < o.seq }

func (q *queue) take() item {
	first := q.items[0]
	n := len(q.items) - 1
	last := q.items[n]
	q.items = q.items[:n]
	i := 0
	for {
		least := 4*i + 1
		if least >= n {
			break
		}
		for c := least + 1; c < min(4*i+5, n); c++ {
			if q.items[c].before(&q.items[least]) {
				least = c
			}
		}
		if !q.items[least].before(&last) {
			break
		}
		q.items[i] = q.items[least]
		i = least
	}
	if n > 0 {
		q.items[i] = last
	}
	return first
}

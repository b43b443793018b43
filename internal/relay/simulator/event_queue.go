package simulator

import "time"

// scheduledEvent is something due at a time. What is due at one time comes in the order in which it was put.
type scheduledEvent struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	a, b int32
}

type eventKind uint8

const (
	eventArrival       eventKind = iota // message a comes from a client, at relay b
	eventSubmission                     // message a is handed in at relay b again
	eventTurn                           // relay a takes its turn
	eventCallArrival                    // call a reaches its endpoint
	eventServiceDone                    // call a has been served; b: its number in that place
	eventResponse                       // the answer to call a reaches its relay
	eventCallTimeout                    // call a has lasted as long as it may; b: its number in that place
	eventFault                          // trouble a begins (b 1) or ends (b 0)
	eventListUpdate                     // relay b hears of change a of the list
	eventOverloadCheck                  // endpoint a is looked at, whether it falls
	eventNextMessage                    // the next message is drawn
	eventOverloadEnd                    // endpoint a comes back after a fall
	eventQuotaPing                      // relay a says what it needs
	eventQuotaRequest                   // post a comes to whoever leads
	eventQuotaGrant                     // post a, an answer, comes to its relay
)

// queue is a heap of four children a node, which is flatter than one of two.
type queue struct {
	items []scheduledEvent
	seq   uint64
}

func (q *queue) push(at time.Duration, do eventKind, a, b int32) {
	q.seq++
	it := scheduledEvent{at, q.seq, do, a, b}
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

func (it *scheduledEvent) before(o *scheduledEvent) bool {
	return it.at < o.at || it.at == o.at && it.seq < o.seq
}

func (q *queue) pop() scheduledEvent {
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

package simulator

import "time"

// scheduledEvent is something due at a virtual time. Events of one time are processed in the order in which they were pushed.
type scheduledEvent struct {
	at   time.Duration
	seq  uint64
	kind eventKind
	a, b int32
}

type eventKind uint8

const (
	eventArrival       eventKind = iota // client submits message a to relay b
	eventSubmission                     // client resubmits message a to relay b
	eventTurn                           // relay a takes a turn
	eventCallArrival                    // call a reaches its endpoint
	eventServiceDone                    // endpoint completes call a of generation b
	eventResponse                       // the answer to call a reaches its relay
	eventCallTimeout                    // call a of generation b times out
	eventFault                          // fault a begins (b 1) or ends (b 0)
	eventListUpdate                     // relay b is notified of change a of the endpoint list
	eventOverloadCheck                  // overload window of endpoint a has passed
	eventNextMessage                    // the next message is drawn
	eventOverloadEnd                    // endpoint a comes back after a collapse
	eventQuotaPing                      // relay a sends its demands to the leader
	eventQuotaRequest                   // envelope a reaches the leader
	eventQuotaGrant                     // envelope a, a grant, reaches its relay
)

// queue is a 4-ary min-heap, which is shallower than a binary one.
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
		earliest := 4*i + 1
		if earliest >= n {
			break
		}
		for c := earliest + 1; c < min(4*i+5, n); c++ {
			if q.items[c].before(&q.items[earliest]) {
				earliest = c
			}
		}
		if !q.items[earliest].before(&last) {
			break
		}
		q.items[i] = q.items[earliest]
		i = earliest
	}
	if n > 0 {
		q.items[i] = last
	}
	return first
}

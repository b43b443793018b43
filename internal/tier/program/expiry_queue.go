package program

import "container/heap"

// expiryQueue is a heap of turns by their time of expiry, and by sequence if that is the same. A turn's queueIndex is its index in
// the heap.
type expiryQueue []*turn

var _ heap.Interface = (*expiryQueue)(nil)

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool {
	if q[i].expiresAtMs != q[j].expiresAtMs {
		return q[i].expiresAtMs < q[j].expiresAtMs
	}
	return q[i].sequence < q[j].sequence
}

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex = int32(i)
	q[j].queueIndex = int32(j)
}

// Push implements heap.Interface: it appends a turn, without restoring the order.
func (q *expiryQueue) Push(added any) {
	t := added.(*turn)
	t.queueIndex = int32(len(*q))
	*q = append(*q, t)
}

// Pop implements heap.Interface: it removes the last turn.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.queueIndex = notQueued
	return t
}

// schedule sets a turn's time of expiry, and adds the turn to the queue if it isn't in it.
func (q *expiryQueue) schedule(t *turn, expiresAtMs int64) {
	t.expiresAtMs = expiresAtMs
	if t.queueIndex == notQueued {
		heap.Push(q, t)
		return
	}
	heap.Fix(q, int(t.queueIndex))
}

// popExpired removes and returns the first turn if it has expired, or returns nil.
func (q *expiryQueue) popExpired(nowMs int64) *turn {
	if len(*q) == 0 || (*q)[0].expiresAtMs > nowMs {
		return nil
	}
	t := heap.Pop(q).(*turn)
	t.expiresAtMs = 0
	return t
}

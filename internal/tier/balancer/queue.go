package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// queueTimeDivisor gives the part of its latency target for which a request may be queued: one that is rejected by then still
// earns about half of its value when it comes again.
const queueTimeDivisor = 4

// QueuedRequest is one request that waits for capacity.
type QueuedRequest struct {
	ID        uint64
	Priority  int           // 0 is the most urgent
	Deadline  time.Duration // of the request: within a priority, the earlier one goes first
	ExpiresAt time.Duration // it is rejected if it is still queued then
}

// NewQueuedRequest returns a request that arrived at now, on a route with that latency target.
func NewQueuedRequest(id uint64, priority int, now, latencyTarget, timeLeft time.Duration) QueuedRequest {
	return QueuedRequest{ID: id, Priority: priority, Deadline: now + timeLeft,
		ExpiresAt: now + min(latencyTarget/queueTimeDivisor, timeLeft)}
}

// before reports whether w leaves the queue before o.
func (w *QueuedRequest) before(o *QueuedRequest) bool {
	return cmp.Or(cmp.Compare(w.Priority, o.Priority), cmp.Compare(w.Deadline, o.Deadline), cmp.Compare(w.ID, o.ID)) < 0
}

// expiresBefore reports whether w is to be rejected before o.
func (w *QueuedRequest) expiresBefore(o *QueuedRequest) bool {
	return w.ExpiresAt < o.ExpiresAt || w.ExpiresAt == o.ExpiresAt && w.ID < o.ID
}

// Queue holds the requests of one service that wait for capacity: the most urgent one leaves first, and none waits beyond its
// expiry. It is not safe for concurrent use.
type Queue struct {
	limit      int
	byPriority requestHeap // the first to leave on top
	byExpiry   requestHeap // the first to expire on top
	entries    map[uint64]*queueEntry
}

// queueEntry is a request with its index in both heaps.
type queueEntry struct {
	QueuedRequest
	heapIndexes [2]int
}

// NewQueue returns an empty queue for up to limit requests, at least one.
func NewQueue(limit int) *Queue {
	return &Queue{
		limit:      max(1, limit),
		byPriority: requestHeap{indexSlot: 0, before: (*QueuedRequest).before},
		byExpiry:   requestHeap{indexSlot: 1, before: (*QueuedRequest).expiresBefore},
		entries:    map[uint64]*queueEntry{},
	}
}

// Len returns how many requests are queued.
func (q *Queue) Len() int { return len(q.entries) }

// Push queues w. Where the queue is full, the request that would leave last is rejected: it is returned, and may be w. A request
// that is queued already is rejected too.
func (q *Queue) Push(w QueuedRequest) (rejected QueuedRequest, full bool) {
	if q.entries[w.ID] != nil {
		return w, true
	}
	if len(q.entries) >= q.limit {
		last := q.last()
		if !w.before(&last.QueuedRequest) {
			return w, true
		}
		q.Remove(last.ID)
		rejected, full = last.QueuedRequest, true
	}
	e := &queueEntry{QueuedRequest: w}
	q.entries[w.ID] = e
	heap.Push(&q.byPriority, e)
	heap.Push(&q.byExpiry, e)
	return rejected, full
}

// last is the request that would leave last.
func (q *Queue) last() *queueEntry {
	last := q.byPriority.entries[0]
	for _, e := range q.byPriority.entries {
		if last.before(&e.QueuedRequest) {
			last = e
		}
	}
	return last
}

// Pop removes and returns the most urgent request; false: none is queued.
func (q *Queue) Pop() (QueuedRequest, bool) {
	w, ok := q.Peek()
	if ok {
		q.Remove(w.ID)
	}
	return w, ok
}

// Peek returns the request that Pop would remove.
func (q *Queue) Peek() (QueuedRequest, bool) { return q.byPriority.peek() }

// PopExpired removes and returns one request that has expired and is to be rejected; false: none has.
func (q *Queue) PopExpired(now time.Duration) (QueuedRequest, bool) {
	w, ok := q.byExpiry.peek()
	if !ok || w.ExpiresAt > now {
		return QueuedRequest{}, false
	}
	q.Remove(w.ID)
	return w, true
}

// NextExpiry returns when the next request expires; false: none is queued.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	w, ok := q.byExpiry.peek()
	return w.ExpiresAt, ok
}

// Remove takes out a request whose client has gone, and reports whether it was queued.
func (q *Queue) Remove(id uint64) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	delete(q.entries, id)
	heap.Remove(&q.byPriority, e.heapIndexes[q.byPriority.indexSlot])
	heap.Remove(&q.byExpiry, e.heapIndexes[q.byExpiry.indexSlot])
	return true
}

// requestHeap is a heap of entries, each of which knows its index in it. It implements heap.Interface.
type requestHeap struct {
	entries   []*queueEntry
	indexSlot int // which of an entry's heapIndexes is that in this heap
	before    func(a, b *QueuedRequest) bool
}

// peek returns the request on top; false: the heap is empty.
func (h *requestHeap) peek() (QueuedRequest, bool) {
	if len(h.entries) == 0 {
		return QueuedRequest{}, false
	}
	return h.entries[0].QueuedRequest, true
}

// Len implements heap.Interface.
func (h *requestHeap) Len() int { return len(h.entries) }

// Less implements heap.Interface.
func (h *requestHeap) Less(i, j int) bool {
	return h.before(&h.entries[i].QueuedRequest, &h.entries[j].QueuedRequest)
}

// Swap implements heap.Interface.
func (h *requestHeap) Swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].heapIndexes[h.indexSlot], h.entries[j].heapIndexes[h.indexSlot] = i, j
}

// Push appends an entry for package heap.
func (h *requestHeap) Push(x any) {
	e := x.(*queueEntry)
	e.heapIndexes[h.indexSlot] = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop removes the last entry for package heap.
func (h *requestHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries[len(h.entries)-1] = nil
	h.entries = h.entries[:len(h.entries)-1]
	return last
}

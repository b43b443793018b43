package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// queueTimeDivisor divides a request's latency target to give the time that it may be queued. A request that is rejected within that
// time still has about half of its value when the client sends it again.
const queueTimeDivisor = 4

// QueuedRequest is a request that waits for capacity.
type QueuedRequest struct {
	ID        uint64
	Priority  int           // 0 is the most urgent
	Deadline  time.Duration // of the request; within a priority, the earliest deadline leaves first
	ExpiresAt time.Duration // if still queued then, the request is rejected
}

// NewQueuedRequest returns a request that arrived at now on a route with the given latency target, and has timeLeft to its deadline.
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

// Queue holds the requests of one service that wait for capacity. The most urgent one leaves first; the caller removes expired ones
// with PopExpired. It is not safe for concurrent use.
type Queue struct {
	limit      int
	byPriority requestHeap // the next to leave on top
	byExpiry   requestHeap // the next to expire on top
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

// Push queues w. If the queue is full, it rejects the request that would leave last, which may be w; it also rejects w if that is
// queued already. It returns the rejected request, and reports whether there is one.
func (q *Queue) Push(w QueuedRequest) (rejected QueuedRequest, hasRejected bool) {
	if q.entries[w.ID] != nil {
		return w, true
	}
	if len(q.entries) >= q.limit {
		last := q.last()
		if !w.before(&last.QueuedRequest) {
			return w, true
		}
		q.Remove(last.ID)
		rejected, hasRejected = last.QueuedRequest, true
	}
	e := &queueEntry{QueuedRequest: w}
	q.entries[w.ID] = e
	heap.Push(&q.byPriority, e)
	heap.Push(&q.byExpiry, e)
	return rejected, hasRejected
}

// last returns the request that would leave last. The queue must not be empty.
func (q *Queue) last() *queueEntry {
	last := q.byPriority.entries[0]
	for _, e := range q.byPriority.entries {
		if last.before(&e.QueuedRequest) {
			last = e
		}
	}
	return last
}

// Pop removes and returns the most urgent request. It returns false if the queue is empty.
func (q *Queue) Pop() (QueuedRequest, bool) {
	w, ok := q.Peek()
	if ok {
		q.Remove(w.ID)
	}
	return w, ok
}

// Peek returns the most urgent request without removing it. It returns false if the queue is empty.
func (q *Queue) Peek() (QueuedRequest, bool) { return q.byPriority.peek() }

// PopExpired removes and returns one expired request, which the caller must reject. It returns false if none has expired.
func (q *Queue) PopExpired(now time.Duration) (QueuedRequest, bool) {
	w, ok := q.byExpiry.peek()
	if !ok || w.ExpiresAt > now {
		return QueuedRequest{}, false
	}
	q.Remove(w.ID)
	return w, true
}

// NextExpiry returns when the next request expires. It returns false if the queue is empty.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	w, ok := q.byExpiry.peek()
	return w.ExpiresAt, ok
}

// Remove removes a request, for example because its client has gone, and reports whether it was queued.
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

// requestHeap is a heap of entries, each of which stores its index in the heap. It implements heap.Interface.
type requestHeap struct {
	entries   []*queueEntry
	indexSlot int // which of an entry's heapIndexes belongs to this heap
	before    func(a, b *QueuedRequest) bool
}

// peek returns the request on top. It returns false if the heap is empty.
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

// Push implements heap.Interface: it appends an entry.
func (h *requestHeap) Push(x any) {
	e := x.(*queueEntry)
	e.heapIndexes[h.indexSlot] = len(h.entries)
	h.entries = append(h.entries, e)
}

// Pop implements heap.Interface: it removes the last entry.
func (h *requestHeap) Pop() any {
	last := h.entries[len(h.entries)-1]
	h.entries[len(h.entries)-1] = nil
	h.entries = h.entries[:len(h.entries)-1]
	return last
}

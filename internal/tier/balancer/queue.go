package balancer

import (
	"cmp"
	"container/heap"
	"time"
)

// waitPart is the part of its target time that a request may wait for a slot: one that is refused by then still earns
// about half of its worth when it comes again.
const waitPart = 4

// QueuedRequest is one request that waits for a slot.
type QueuedRequest struct {
	ID        uint64
	Priority  int           // 0 is the most urgent
	Deadline  time.Duration // of the request: of one rank, the earlier one goes first
	ExpiresAt time.Duration // it is refused if it hasn't left by then
}

// NewQueuedRequest returns a waiter that came at now, on a route with that target time.
func NewQueuedRequest(id uint64, rank int, now, target, timeLeft time.Duration) QueuedRequest {
	return QueuedRequest{ID: id, Priority: rank, Deadline: now + timeLeft, ExpiresAt: now + min(target/waitPart, timeLeft)}
}

// before tells whether w leaves the queue before o.
func (w *QueuedRequest) before(o *QueuedRequest) bool {
	return cmp.Or(cmp.Compare(w.Priority, o.Priority), cmp.Compare(w.Deadline, o.Deadline), cmp.Compare(w.ID, o.ID)) < 0
}

// Queue holds the requests of one service that wait for a slot: the most urgent one leaves first, and none waits longer
// than its bound. It is not safe for concurrent use.
type Queue struct {
	limit   int
	urgent  order // the first to leave on top
	expiry  order // the first to be refused on top
	entries map[uint64]*entry
}

// entry is a waiter with its places in both heaps.
type entry struct {
	QueuedRequest
	at [2]int
}

// NewQueue returns an empty queue for so many waiters.
func NewQueue(limit int) *Queue {
	return &Queue{
		limit:  max(1, limit),
		urgent: order{place: 0, before: func(a, b *QueuedRequest) bool { return a.before(b) }},
		expiry: order{place: 1, before: func(a, b *QueuedRequest) bool {
			return a.ExpiresAt < b.ExpiresAt || a.ExpiresAt == b.ExpiresAt && a.ID < b.ID
		}},
		entries: map[uint64]*entry{},
	}
}

// Len is how many wait.
func (q *Queue) Len() int { return len(q.entries) }

// Push lets w wait. Where the queue is full, the one that would leave last is refused: it is returned, and may be w.
func (q *Queue) Push(w QueuedRequest) (refused QueuedRequest, full bool) {
	if q.entries[w.ID] != nil {
		return w, true
	}
	if len(q.entries) >= q.limit {
		last := q.last()
		if !w.before(&last.QueuedRequest) {
			return w, true
		}
		q.Remove(last.ID)
		refused, full = last.QueuedRequest, true
	}
	e := &entry{QueuedRequest: w}
	q.entries[w.ID] = e
	heap.Push(&q.urgent, e)
	heap.Push(&q.expiry, e)
	return refused, full
}

// last is the waiter that would leave last.
func (q *Queue) last() *entry {
	last := q.urgent.list[0]
	for _, e := range q.urgent.list {
		if last.before(&e.QueuedRequest) {
			last = e
		}
	}
	return last
}

// Pop takes out the most urgent waiter, for which a slot is free now.
func (q *Queue) Pop() (QueuedRequest, bool) {
	if len(q.urgent.list) == 0 {
		return QueuedRequest{}, false
	}
	w := q.urgent.list[0].QueuedRequest
	q.Remove(w.ID)
	return w, true
}

// Peek is the waiter that Pop would take out.
func (q *Queue) Peek() (QueuedRequest, bool) {
	if len(q.urgent.list) == 0 {
		return QueuedRequest{}, false
	}
	return q.urgent.list[0].QueuedRequest, true
}

// PopExpired takes out one waiter whose bound has come; it is to be refused.
func (q *Queue) PopExpired(now time.Duration) (QueuedRequest, bool) {
	if len(q.expiry.list) == 0 || q.expiry.list[0].ExpiresAt > now {
		return QueuedRequest{}, false
	}
	w := q.expiry.list[0].QueuedRequest
	q.Remove(w.ID)
	return w, true
}

// NextExpiry is when the next bound comes.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	if len(q.expiry.list) == 0 {
		return 0, false
	}
	return q.expiry.list[0].ExpiresAt, true
}

// Remove takes out a waiter whose client has gone, and tells whether it waited.
func (q *Queue) Remove(id uint64) bool {
	e := q.entries[id]
	if e == nil {
		return false
	}
	delete(q.entries, id)
	heap.Remove(&q.urgent, e.at[q.urgent.place])
	heap.Remove(&q.expiry, e.at[q.expiry.place])
	return true
}

// order is a heap of entries, each of which knows its place in it.
type order struct {
	list   []*entry
	place  int // which of an entry's places is that in this heap
	before func(a, b *QueuedRequest) bool
}

func (o *order) Len() int { return len(o.list) }
func (o *order) Less(i, j int) bool {
	return o.before(&o.list[i].QueuedRequest, &o.list[j].QueuedRequest)
}
func (o *order) Swap(i, j int) {
	o.list[i], o.list[j] = o.list[j], o.list[i]
	o.list[i].at[o.place], o.list[j].at[o.place] = i, j
}

// Push appends an entry; it is called by the heap.
func (o *order) Push(x any) {
	e := x.(*entry)
	e.at[o.place] = len(o.list)
	o.list = append(o.list, e)
}

// Pop takes off the last entry; it is called by the heap.
func (o *order) Pop() any {
	last := o.list[len(o.list)-1]
	o.list[len(o.list)-1] = nil
	o.list = o.list[:len(o.list)-1]
	return last
}

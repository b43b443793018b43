// Package virtualtime is the event loop of a discrete-event simulation: it runs callbacks in virtual time, in one goroutine and
// without waiting. It is test support. The same calls run the same callbacks in the same order.
package virtualtime

import (
	"container/heap"
	"time"
)

// Loop is a virtual clock with its scheduled events. The zero value is at time zero with none. It is not safe for concurrent use.
type Loop struct {
	now      time.Duration
	events   queue
	sequence uint64
}

// Now returns the virtual time since the loop's start.
func (l *Loop) Now() time.Duration { return l.now }

// After schedules run for when the delay has passed. Events of the same time run in the order in which they were scheduled; a
// negative delay counts as 0.
func (l *Loop) After(delay time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now + max(0, delay), sequence: l.sequence, run: run})
}

// Step advances the clock to the next event and runs it. It reports whether there was one.
func (l *Loop) Step() bool {
	if len(l.events) == 0 {
		return false
	}
	next := heap.Pop(&l.events).(event)
	l.now = next.at
	next.run()
	return true
}

// RunFor runs the events of the next span, including those that these schedule, and advances the clock by all of it.
func (l *Loop) RunFor(span time.Duration) {
	end := l.now + span
	for len(l.events) > 0 && l.events[0].at <= end {
		l.Step()
	}
	l.now = end
}

// event is a scheduled callback.
type event struct {
	at       time.Duration
	sequence uint64 // breaks ties: the order of scheduling
	run      func()
}

// queue is a heap.Interface with the next event first.
type queue []event

// Len implements sort.Interface.
func (q queue) Len() int { return len(q) }

// Less implements sort.Interface: by time, then in the order of scheduling.
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements sort.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface. It clears the slot, so that the callback can be freed.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

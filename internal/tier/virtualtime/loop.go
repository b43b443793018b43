// Package virtualtime plays events in virtual time. It is test support: simulations of several machines run on it, in one
// goroutine and without waiting, the same way each time.
package virtualtime

import (
	"container/heap"
	"time"
)

// Loop is a clock and what is due on it. The zero value is a loop at time zero with nothing due.
type Loop struct {
	now      time.Duration
	due      queue
	sequence uint64
}

// Now returns the time since the loop's beginning.
func (l *Loop) Now() time.Duration { return l.now }

// After has run called once the delay is over. Events of one moment are played in the order in which they were asked for; a
// negative delay counts as none.
func (l *Loop) After(delay time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.due, event{at: l.now + max(0, delay), sequence: l.sequence, run: run})
}

// Step plays the next event, whenever it is due, and tells whether there was one.
func (l *Loop) Step() bool {
	if len(l.due) == 0 {
		return false
	}
	next := heap.Pop(&l.due).(event)
	l.now = next.at
	next.run()
	return true
}

// RunFor plays what is due within a time, which is over when it returns.
func (l *Loop) RunFor(span time.Duration) {
	end := l.now + span
	for len(l.due) > 0 && l.due[0].at <= end {
		l.Step()
	}
	l.now = end
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// queue is a heap with the next event first.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

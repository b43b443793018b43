package fleettest

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// dayStart is the true time of day at the beginning of a run, in ms.
const dayStart = 1_767_225_600_000

// loop is the virtual clock and what is due on it.
type loop struct {
	now      time.Duration
	queue    eventQueue
	sequence uint64
	random   *rand.Rand
}

func newLoop(seed uint64) *loop {
	return &loop{random: rand.New(rand.NewPCG(seed, 0x666c656574))}
}

// event is a function that is due at a time. Events of one time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules run after a delay.
func (l *loop) after(delay time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.queue, event{at: l.now + max(0, delay), sequence: l.sequence, run: run})
}

// runUntil runs events until the condition holds or the time is over, and reports whether it holds.
func (l *loop) runUntil(end time.Duration, condition func() bool) bool {
	for {
		if condition != nil && condition() {
			return true
		}
		if len(l.queue) == 0 || l.queue[0].at > end {
			l.now = max(l.now, end)
			return false
		}
		next := heap.Pop(&l.queue).(event)
		l.now = next.at
		next.run()
	}
}

// between draws a duration.
func (l *loop) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(l.random.Int64N(int64(high-low)))
}

// withProbability is true in the given share of cases.
func (l *loop) withProbability(share float64) bool { return share > 0 && l.random.Float64() < share }

// eventQueue is a heap of events, the earliest first. It implements heap.Interface.
type eventQueue []event

// Len implements sort.Interface.
func (q eventQueue) Len() int { return len(q) }

// Less implements sort.Interface; events of one moment come in the order of their sequence numbers.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

// Swap implements sort.Interface.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

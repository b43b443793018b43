package virtualtime

import "time"

// Queue is a priority queue of events, ordered by time; events of the same time keep the order in which they were pushed. The zero
// value is empty. It is not safe for concurrent use.
//
// It is a 4-ary heap, which is shallower than a binary one; events are stored by value.
type Queue[Event any] struct {
	items    []scheduled[Event]
	sequence uint64 // of the last push
}

// scheduled is a queued event with its time.
type scheduled[Event any] struct {
	at       time.Duration
	sequence uint64 // number of its push, to order events of the same time
	event    Event
}

// before reports whether the event comes before another.
func (s *scheduled[Event]) before(other *scheduled[Event]) bool {
	return s.at < other.at || s.at == other.at && s.sequence < other.sequence
}

// arity is the number of children of a node of the heap.
const arity = 4

// Len returns the number of events.
func (q *Queue[Event]) Len() int { return len(q.items) }

// NextAt returns the time of the next event. The queue must not be empty.
func (q *Queue[Event]) NextAt() time.Duration { return q.items[0].at }

// Push adds an event that is due at a time.
func (q *Queue[Event]) Push(at time.Duration, event Event) {
	q.sequence++
	pushed := scheduled[Event]{at: at, sequence: q.sequence, event: event}
	q.items = append(q.items, pushed)
	position := len(q.items) - 1
	for position > 0 {
		parent := (position - 1) / arity
		if !pushed.before(&q.items[parent]) {
			break
		}
		q.items[position] = q.items[parent]
		position = parent
	}
	q.items[position] = pushed
}

// Pop removes the next event and returns it with its time. The queue must not be empty.
func (q *Queue[Event]) Pop() (time.Duration, Event) {
	first := q.items[0]
	end := len(q.items) - 1
	last := q.items[end]
	q.items[end] = scheduled[Event]{} // lets the garbage collector free what the event refers to
	q.items = q.items[:end]
	if end > 0 {
		q.siftDown(last)
	}
	return first.at, first.event
}

// Clear removes all events.
func (q *Queue[Event]) Clear() { q.items = nil }

// siftDown inserts an event at the free root of the heap and moves it down to its place.
func (q *Queue[Event]) siftDown(moved scheduled[Event]) {
	position := 0
	for {
		earliest := arity*position + 1
		if earliest >= len(q.items) {
			break
		}
		for child := earliest + 1; child < min(arity*(position+1)+1, len(q.items)); child++ {
			if q.items[child].before(&q.items[earliest]) {
				earliest = child
			}
		}
		if !q.items[earliest].before(&moved) {
			break
		}
		q.items[position] = q.items[earliest]
		position = earliest
	}
	q.items[position] = moved
}

package program

import (
	"cmp"
	"container/heap"
	"slices"
)

// queue orders turns by when they may go, those due at the same moment by when they came. It is a heap in which each turn
// knows its place.
type queue []*turn

var _ heap.Interface = (*queue)(nil)

// Len is the number of turns queued.
func (q queue) Len() int { return len(q) }

// Less tells whether the turn at i goes before the one at j.
func (q queue) Less(i, j int) bool {
	if q[i].dueMs != q[j].dueMs {
		return q[i].dueMs < q[j].dueMs
	}
	return q[i].sequence < q[j].sequence
}

// Swap exchanges two places.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = int32(i)
	q[j].index = int32(j)
}

// Push adds a turn at the end; heap.Push calls it.
func (q *queue) Push(added any) {
	t := added.(*turn)
	t.index = int32(len(*q))
	*q = append(*q, t)
}

// Pop takes the last turn out; heap.Pop calls it.
func (q *queue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	t.index = unqueued
	return t
}

// schedule sets when a turn may go, whether it is queued or not.
func (q *queue) schedule(t *turn, dueMs int64) {
	t.dueMs = dueMs
	if t.index == unqueued {
		heap.Push(q, t)
		return
	}
	heap.Fix(q, int(t.index))
}

// takeDue takes out the first turn that is due, or gives nil.
func (q *queue) takeDue(nowMs int64) *turn {
	if len(*q) == 0 || (*q)[0].dueMs > nowMs {
		return nil
	}
	t := heap.Pop(q).(*turn)
	t.dueMs = 0
	return t
}

// inOrder gives all turns and imported chains in the order in which they came.
func (m *Machine) inOrder() []*turn {
	turns := make([]*turn, 0, len(m.turns)+len(m.roots))
	for _, t := range m.turns {
		turns = append(turns, t)
	}
	for _, t := range m.roots {
		turns = append(turns, t)
	}
	slices.SortFunc(turns, bySequence)
	return turns
}

func bySequence(a, b *turn) int {
	return cmp.Compare(a.sequence, b.sequence)
}

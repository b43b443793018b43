package group

import (
	"sync/atomic"

	"mastusher/internal/tier/replica"
)

// QueueBudget bounds the bytes that wait for the turns of all members of a process together: messages of others and commands of
// its own. What finds no room is lost like any other message, or refused; a member that has nothing waiting always has room
// for one, so that each gets on.
type QueueBudget struct {
	bytes int64
	used  atomic.Int64
}

// defaultBudgetBytes bounds what waits where the options say nothing.
const defaultBudgetBytes = 4 << 20

// NewQueueBudget allows so many bytes.
func NewQueueBudget(bytes int) *QueueBudget { return &QueueBudget{bytes: int64(bytes)} }

// take uses some of the budget up; what is needed anyhow goes beyond it.
func (b *QueueBudget) take(bytes int, needed bool) bool {
	if used := b.used.Add(int64(bytes)); used <= b.bytes || needed {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// giveBack ends the use of bytes.
func (b *QueueBudget) giveBack(bytes int) { b.used.Add(-int64(bytes)) }

// takeRoom takes bytes that wait for the member's turn into account; false: there is no room for them. The mutex is held.
func (g *Group) takeRoom(bytes int, needed bool) bool {
	needed = needed || g.waiting == 0
	if !needed && g.waiting+bytes > mostWaitingBytes || !g.options.QueueBudget.take(bytes, needed) {
		return false
	}
	g.waiting += bytes
	return true
}

// takeInput returns what has come in since the last turn.
func (g *Group) takeInput() replica.Input {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	input := g.input
	g.options.QueueBudget.giveBack(g.waiting)
	g.input, g.waiting = replica.Input{}, 0
	return input
}

package group

import (
	"slices"
	"sync/atomic"

	"mastusher/internal/tier/replica"
)

// maxQueuedBytes bounds the messages and commands queued for one member. Messages beyond it are lost, as on the network;
// commands beyond it are rejected with NotLeaderError.Dropped.
const maxQueuedBytes = 4 << 20

// messageOverhead is the approximate size of a message without its entries and state, in bytes.
const messageOverhead = 256

func messageSize(message *replica.Message) int {
	size := messageOverhead
	for i := range message.Entries {
		size += len(message.Entries[i].Data)
	}
	if message.Snapshot != nil {
		size += len(message.Snapshot.State)
	}
	return size
}

// Deliver queues a message from another member. It drops the message if the member is out of service or the queue is full.
func (g *Group) Deliver(message replica.Message) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failure != nil || !g.reserveMessage(&message) {
		return
	}
	g.input.Messages = append(g.input.Messages, message)
	g.signal()
}

// reserveMessage reserves a message's bytes, unless too many are queued. One snapshot chunk is always accepted, however large:
// a member that needs the snapshot can't make progress without it, and the leader's other messages could keep filling the queue.
func (g *Group) reserveMessage(message *replica.Message) bool {
	required := isSnapshotChunk(*message) && !slices.ContainsFunc(g.input.Messages, isSnapshotChunk)
	return g.reserve(messageSize(message), required)
}

func isSnapshotChunk(message replica.Message) bool { return message.Kind == replica.InstallSnapshot }

// QueueBudget bounds the total bytes of messages and commands queued by the members that share it. Messages beyond it are lost, as
// on the network, and commands are rejected with NotLeaderError.Dropped. A member with an empty queue may always queue one message
// or command, so that every member makes progress.
type QueueBudget struct {
	limit int64
	used  atomic.Int64
}

// defaultBudgetBytes is the size of the default QueueBudget.
const defaultBudgetBytes = 4 << 20

// NewQueueBudget returns a budget of the given number of bytes.
func NewQueueBudget(bytes int) *QueueBudget { return &QueueBudget{limit: int64(bytes)} }

// reserve takes bytes from the budget and reports whether it had enough. If required, it succeeds even beyond the limit.
func (b *QueueBudget) reserve(bytes int, required bool) bool {
	if used := b.used.Add(int64(bytes)); used <= b.limit || required {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// release returns reserved bytes.
func (b *QueueBudget) release(bytes int) { b.used.Add(-int64(bytes)) }

// reserve counts bytes as queued, and returns false if there is no capacity for them. The caller must hold the mutex.
func (g *Group) reserve(bytes int, required bool) bool {
	required = required || g.queuedBytes == 0
	if !required && g.queuedBytes+bytes > maxQueuedBytes || !g.options.QueueBudget.reserve(bytes, required) {
		return false
	}
	g.queuedBytes += bytes
	return true
}

// takeInput returns the input queued since the last iteration, and releases its bytes from the budget.
func (g *Group) takeInput() replica.Input {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	input := g.input
	g.options.QueueBudget.release(g.queuedBytes)
	g.input, g.queuedBytes = replica.Input{}, 0
	input.RequestSnapshot = g.snapshotRequested.Swap(false)
	return input
}

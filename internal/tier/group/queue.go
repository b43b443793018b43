package group

import (
	"slices"
	"sync/atomic"

	"mastusher/internal/tier/replica"
)

// maxQueuedBytes bounds what is queued for the member: messages beyond it are lost like any other message, commands are
// dropped.
const maxQueuedBytes = 4 << 20

// messageOverhead is about what a message takes beside its entries and state, in bytes.
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

// Deliver queues a message from another member, or drops it.
func (g *Group) Deliver(message replica.Message) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.failure != nil || !g.reserveMessage(&message) {
		return
	}
	g.input.Messages = append(g.input.Messages, message)
	g.signal()
}

// reserveMessage reserves a message's bytes, unless too many are queued. One chunk of a snapshot is always queued, however
// large: a member that needs it makes progress by nothing else, and its leader goes on sending other messages meanwhile.
func (g *Group) reserveMessage(message *replica.Message) bool {
	required := bringsChunk(*message) && !slices.ContainsFunc(g.input.Messages, bringsChunk)
	return g.reserve(messageSize(message), required)
}

func bringsChunk(message replica.Message) bool { return message.Kind == replica.InstallSnapshot }

// QueueBudget bounds the bytes that are queued at all members of a process together: messages of others and commands of
// its own. What exceeds it is lost like any other message, or dropped; a member that has nothing queued may always queue one
// message or command, so that each makes progress.
type QueueBudget struct {
	limit int64
	used  atomic.Int64
}

// defaultBudgetBytes is the size of a QueueBudget where the options leave it open.
const defaultBudgetBytes = 4 << 20

// NewQueueBudget returns a budget of so many bytes.
func NewQueueBudget(bytes int) *QueueBudget { return &QueueBudget{limit: int64(bytes)} }

// reserve takes bytes from the budget; what is required goes beyond it.
func (b *QueueBudget) reserve(bytes int, required bool) bool {
	if used := b.used.Add(int64(bytes)); used <= b.limit || required {
		return true
	}
	b.used.Add(-int64(bytes))
	return false
}

// release returns reserved bytes.
func (b *QueueBudget) release(bytes int) { b.used.Add(-int64(bytes)) }

// reserve counts bytes as queued; false: there is no capacity for them. The mutex must be held.
func (g *Group) reserve(bytes int, required bool) bool {
	required = required || g.queuedBytes == 0
	if !required && g.queuedBytes+bytes > maxQueuedBytes || !g.options.QueueBudget.reserve(bytes, required) {
		return false
	}
	g.queuedBytes += bytes
	return true
}

// takeInput returns what has been queued since the last iteration.
func (g *Group) takeInput() replica.Input {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	input := g.input
	g.options.QueueBudget.release(g.queuedBytes)
	g.input, g.queuedBytes = replica.Input{}, 0
	input.RequestSnapshot = g.snapshotWanted.Swap(false)
	return input
}

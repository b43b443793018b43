package group

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Options configures a member.
type Options struct {
	Name         string // of the group, the same for all members; the prefix of its file names
	Replica      replica.Options
	Disk         storage.Disk
	StateMachine StateMachine                            // should be a ChunkedStateMachine if the state may be large
	Send         func(address string, envelope Envelope) // must not block; messages may be lost, duplicated and reordered
	// CompactionLock is held during a compaction, so that members that share it compact one at a time: concurrent compactions would
	// slow down the disk for all other members for longer. Default: a lock of its own.
	CompactionLock *sync.Mutex
	// ReceiveLimiter bounds how many snapshots the members that share it receive at once. A higher limit fills an empty machine
	// sooner, and takes more memory. Default: a limiter of its own, for one snapshot.
	ReceiveLimiter *SnapshotLimiter
	// QueueBudget bounds the bytes queued by all members that share it. A larger budget tolerates longer disk stalls without losing
	// messages, and takes as much more memory. Default: a budget of its own, of 4 MiB.
	QueueBudget *QueueBudget
	// CompactionBytes is the growth of the log that triggers a compaction. The actual threshold is at least a quarter of the last
	// snapshot's length, and doubles while a snapshot is sent or received. A larger value writes the state less often, but costs
	// disk space, memory and restart time. Default: 1 MiB.
	CompactionBytes int64
	Logger          log.Logger
	// Clock must be monotonic. Default: the time since Open.
	Clock func() time.Duration
	// RunBackground runs work that would block the member's goroutine for long: writing a compaction's snapshot. It must run work
	// exactly once. Default: on the member's goroutine, within the iteration.
	RunBackground func(work func())
	// OnStatusChange is called after a change of leader, term or members: first by Open, later on the member's goroutine.
	// It must not block. May be nil.
	OnStatusChange func(status replica.Status)
}

// defaultCompactionBytes is the default of Options.CompactionBytes.
const defaultCompactionBytes = 1 << 20

// setDefaults sets the options that are zero to their defaults.
func (o *Options) setDefaults() {
	if o.CompactionBytes == 0 {
		o.CompactionBytes = defaultCompactionBytes
	}
	if o.CompactionLock == nil {
		o.CompactionLock = &sync.Mutex{}
	}
	if o.Clock == nil {
		start := time.Now()
		o.Clock = func() time.Duration { return time.Since(start) }
	}
	if o.ReceiveLimiter == nil {
		o.ReceiveLimiter = NewSnapshotLimiter(1)
	}
	if o.RunBackground == nil {
		o.RunBackground = func(work func()) { work() }
	}
	if o.QueueBudget == nil {
		o.QueueBudget = NewQueueBudget(defaultBudgetBytes)
	}
}

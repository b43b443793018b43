package group

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage"
)

// Options sets a member up.
type Options struct {
	Name         string // of the group, the same at all members; begins the names of its files
	Replica      replica.Options
	Disk         storage.Disk
	StateMachine StateMachine                            // a ChunkedStateMachine where the state may be large
	Send         func(address string, envelope Envelope) // must not block; messages may be lost, duplicated and reordered
	// CompactionLock is held while a member compacts, so that members that share it do so in turn: together they would keep the disk
	// from all others for longer. Nil: one of its own.
	CompactionLock *sync.Mutex
	// ReceiveLimiter bounds the snapshots that members that share it receive at once. More fill an empty machine sooner, and take
	// more memory. Nil: one of its own, for one snapshot.
	ReceiveLimiter *SnapshotLimiter
	// QueueBudget bounds the bytes that are queued at all members that share it. A larger one bears longer stalls of the disk without
	// losing messages, and takes as much more memory. Nil: one of its own, of 4 MiB.
	QueueBudget *QueueBudget
	// CompactionBytes is the length of the log from which on a snapshot replaces it; it is at least a quarter of the last
	// snapshot's length, and twice as much while a snapshot is sent or received. A larger one writes the state more seldom,
	// and costs disk, memory and time of a restart. 0: 1 MiB.
	CompactionBytes int64
	Logger          log.Logger
	// Clock must be monotonic. Nil: the time since Open.
	Clock func() time.Duration
	// RunBackground runs what takes long and isn't the member's goroutine's to wait for: the writing of a compaction's snapshot.
	// It must not run it more than once. Nil: within the member's iteration, which then takes as long.
	RunBackground func(work func())
	// OnStatusChange is called after a change of leader, term or members: by Open at first, then on the member's goroutine.
	// It must not block. May be nil.
	OnStatusChange func(status replica.Status)
}

// defaultCompactionBytes is CompactionBytes where the options leave it open.
const defaultCompactionBytes = 1 << 20

// setDefaults fills in what the options leave open.
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

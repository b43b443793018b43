package store

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/invariant"
	"mastusher/internal/tier/memorybudget"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// Raft timing of a shard's group. A longer election timeout tolerates slower disks and networks, and prolongs the outage of a
// shard whose leader is lost.
const (
	heartbeatInterval      = 150 * time.Millisecond
	electionTimeout        = 600 * time.Millisecond
	initialElectionTimeout = 120 * time.Millisecond // after a start, until a leader is known
)

// defaultQueueBudgetBytes is the default of Options.QueueBudgetBytes.
const defaultQueueBudgetBytes = 8 << 20

// maxSnapshotReceivers bounds the shards that receive snapshots at the same time. More would need more memory, fewer would prolong
// the start of an empty machine.
const maxSnapshotReceivers = 2

// Options configures a Store.
type Options struct {
	ID      string // of this store, as stored on its disk
	Address string // host:port at which other processes reach this store
	Disk    storage.Disk
	Pool    *transport.Pool // connections to other stores
	Logger  log.Logger
	Seed    uint64           // of the random election timeouts; must differ between stores
	Now     func() time.Time // time of day, which is written into the commands that this store proposes

	Invariants *invariant.Counter // counts surplus replicas that do not stop; nil: no counting

	// QueueBudgetBytes bounds the messages and commands queued for all groups together; 0 selects 8 MiB. Beyond the bound
	// messages are dropped and commands rejected, which the senders retry. A larger value tolerates longer stalls of the
	// disk, and takes as much more memory.
	QueueBudgetBytes int

	// Fullness reports how much of its memory and disk the process uses. Nil: always Roomy.
	Fullness func() Fullness
	// MaxInputContents and MaxOutputContents are the bytes of all contents and logs up to which inputs and outputs over
	// memorybudget.SmallBytes are taken; 0: unbounded. Larger values leave less room for small programs.
	MaxInputContents, MaxOutputContents int64
	// Memory bounds what the store holds of turns that are begun or ended, and of the chains that it answers with; nil: unbounded.
	Memory *memorybudget.Budget

	// The functions below replace the pool, the clock and goroutines in tests that run a store in memory; if nil, those of
	// the process are used. None of them may block. Store.Wait does not wait for groups that RunGroup runs.
	Send      func(address string, envelope group.Envelope)
	Clock     func() time.Duration                  // monotonic
	RunGroup  func(opened *group.Group)             // runs a group until it ends, and handles its error
	AfterFunc func(delay time.Duration, run func()) // calls run after the delay
	// RunBackground runs the writes of compactions concurrently with their groups; by default they run within the groups'
	// iterations.
	RunBackground func(work func())
	// QueryMembers asks the store at an address for the members of the groups that the store leads.
	QueryMembers func(address string, done func(response wire.ShardMembersResponse, err error))
}

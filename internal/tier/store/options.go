package store

import (
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/invariant"
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

// maxSnapshotReceivers bounds the shards that receive snapshots at once: more would need more memory, fewer would prolong the
// start of an empty machine.
const maxSnapshotReceivers = 2

// Options configures a Store.
type Options struct {
	ID      string // identity on its disk
	Address string // host:port at which other processes reach it
	Disk    storage.Disk
	Pool    *transport.Pool // connections to other stores
	Logger  log.Logger
	Seed    uint64           // of the random election timeouts; differs from store to store
	Now     func() time.Time // time of day, written into commands that this store proposes

	Invariants *invariant.Counter // counts surplus replicas that don't stop; nil: counts nothing

	// QueueBudgetBytes bounds the messages and commands queued for all groups together; 0: 8 MiB. Beyond it messages are
	// dropped and commands rejected, which the senders retry. A larger value tolerates longer stalls of the disk and takes
	// as much more memory.
	QueueBudgetBytes int

	// IsNearLimit reports whether the process is short of memory or disk. New programs are rejected while it is. Nil: never.
	IsNearLimit func() bool

	// Replacements of the pool, the clock and goroutines for tests that run a store in memory; nil: those of the process.
	// None of them may block. Who waits for its groups to end passes a RunGroup of its own.
	Send      func(address string, envelope group.Envelope)
	Clock     func() time.Duration                  // monotonic
	RunGroup  func(opened *group.Group)             // drives a group until it ends; an error of the group is the caller's then
	AfterFunc func(delay time.Duration, run func()) // calls run after the delay
	// RunBackground runs the writes of compactions beside their groups; the default runs them within the groups' iterations.
	RunBackground func(work func())
	// QueryMembers asks the store at an address for the members of the groups that it leads.
	QueryMembers func(address string, done func(response wire.ShardMembersResponse, err error))
}

package replica

import (
	"time"

	"github.com/gravitational/trace"
)

// Options sets a member up. Times are durations of the clock that Step is given.
type Options struct {
	ID      string // identity; must not be empty, and must change when the disk was emptied
	Address string // host:port under which other members reach this one
	// InitialMembers is the group at its first start. Empty: the member waits until a leader adds it.
	InitialMembers []Member
	// HeartbeatInterval is the time between a leader's heartbeats. A shorter one finds lost messages sooner and costs
	// messages.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the time without a heartbeat after which a member campaigns, drawn from one to two times it. It
	// must be at least 3 heartbeat intervals. A longer one tolerates slower links and disks, and leaves the group without
	// a leader for longer after a loss.
	ElectionTimeout time.Duration
	// InitialElectionTimeout replaces ElectionTimeout until the member has heard a leader since its start. A shorter one
	// lets a group whose members all start at once elect sooner. 0: ElectionTimeout.
	InitialElectionTimeout time.Duration
	Seed                   uint64 // of the random election timeouts; the identity is mixed in
}

func (o *Options) validate() error {
	if o.ID == "" {
		return trace.BadParameter("a member needs an identity")
	}
	if o.HeartbeatInterval <= 0 || o.ElectionTimeout < minHeartbeatsPerElection*o.HeartbeatInterval {
		return trace.BadParameter("an election timeout of %v needs at least %d heartbeats of %v",
			o.ElectionTimeout, minHeartbeatsPerElection, o.HeartbeatInterval)
	}
	return nil
}

// limits bound what a member sends and keeps in memory. Larger ones cost memory at the sender, in the links and at the receiver.
type limits struct {
	// maxMessageBytes is the bytes of entries in one message; a single entry may be larger. Larger messages cost fewer responses, and
	// keep heartbeats waiting behind them.
	maxMessageBytes int
	// maxInflightBytes is the bytes of entries that are sent to a follower and not acknowledged. More keep a long link busy, and are
	// sent again after a loss.
	maxInflightBytes int
	// maxPendingBytes is the bytes of commands that wait for their commit; more are dropped, except a single one. More bear a longer
	// time without a majority, and the commands wait longer.
	maxPendingBytes int
	// trailingEntries is the number of entries before a snapshot that are kept, as far as they take no more than trailingBytes; at a
	// leader, than maxInflightBytes. More spare followers that are a little behind a snapshot.
	trailingEntries uint64
	trailingBytes   int
	// minInflightChunks and maxInflightChunks bound the chunks of a snapshot that are sent to a follower and not acknowledged. Between
	// them the number follows the link. More fill a longer or faster link, and take as much memory at the sender and the receiver.
	minInflightChunks int
	maxInflightChunks int
}

var defaultLimits = limits{
	maxMessageBytes:   256 << 10,
	maxInflightBytes:  1 << 20,
	maxPendingBytes:   4 << 20,
	trailingEntries:   64,
	trailingBytes:     256 << 10,
	minInflightChunks: 2,
	maxInflightChunks: 8,
}

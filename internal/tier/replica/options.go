package replica

import (
	"time"

	"github.com/gravitational/trace"
)

// Options configures a member. Durations refer to the clock that is passed to Step.
type Options struct {
	ID      string // identity; must not be empty, and must change if the disk was wiped
	Address string // host:port at which other members reach this one
	// InitialMembers are the members of the group when it first starts. Empty: the member waits until a leader adds it.
	InitialMembers []Member
	// HeartbeatInterval is the time between a leader's heartbeats. A shorter interval detects lost messages sooner and costs
	// more messages.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without a heartbeat after which a member campaigns; the actual time is drawn at
	// random between one and two times this value. It must be at least 3 heartbeat intervals. A longer timeout tolerates
	// slower links and disks, but leaves the group without a leader for longer after a failure.
	ElectionTimeout time.Duration
	// InitialElectionTimeout replaces ElectionTimeout until a leader has contacted the member since its start. A shorter
	// value lets a group whose members all start at once elect a leader sooner. 0: ElectionTimeout.
	InitialElectionTimeout time.Duration
	Seed                   uint64 // of the random election timeouts; combined with ID
}

func (o *Options) validate() error {
	if o.ID == "" {
		return trace.BadParameter("option ID is empty; a member needs an identity")
	}
	if o.HeartbeatInterval <= 0 || o.ElectionTimeout < minHeartbeatsPerElection*o.HeartbeatInterval {
		return trace.BadParameter("election timeout %v must be at least %d heartbeat intervals, and the interval %v must be positive",
			o.ElectionTimeout, minHeartbeatsPerElection, o.HeartbeatInterval)
	}
	return nil
}

// limits bounds what a member sends and keeps in memory. Larger values cost memory at the sender, in the links and at the
// receiver.
type limits struct {
	// maxMessageBytes is the maximum size of the entries in one message; a single entry may be larger. Larger messages need
	// fewer responses, but delay the heartbeats queued behind them.
	maxMessageBytes int
	// maxInflightBytes is the maximum size of the entries that are sent to a follower and not acknowledged. A larger value
	// keeps a link with high latency busy, but more must be sent again after a loss.
	maxInflightBytes int
	// maxPendingBytes is the maximum size of the commands that are not committed yet; commands beyond it are dropped, except
	// a single one. A larger value bridges a longer time without a majority, but commands wait longer.
	maxPendingBytes int
	// trailingEntries is the number of entries before a snapshot that are kept in the log, as long as their size does not
	// exceed trailingBytes (on a leader, maxInflightBytes if that is larger). Keeping more saves snapshots for followers
	// that are only slightly behind.
	trailingEntries uint64
	trailingBytes   int
	// minInflightChunks and maxInflightChunks bound the number of snapshot chunks that are sent to a follower and not
	// acknowledged. The number adapts to the link within these bounds. More chunks use a link with high latency or bandwidth
	// better, but take more memory at the sender and the receiver.
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

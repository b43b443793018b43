package group

import (
	"sync"

	"mastusher/internal/tier/replica"
)

// SnapshotLimiter bounds how many members of a process receive snapshots at the same time. A member without a slot does
// everything else; its leader sends the first chunk again after a while.
type SnapshotLimiter struct {
	mutex sync.Mutex
	free  int // slots
}

// NewSnapshotLimiter returns a limiter with so many slots.
func NewSnapshotLimiter(members int) *SnapshotLimiter { return &SnapshotLimiter{free: members} }

func (l *SnapshotLimiter) tryAcquire() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.free == 0 {
		return false
	}
	l.free--
	return true
}

func (l *SnapshotLimiter) release() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.free++
}

// limitIncomingSnapshots removes the snapshots from messages that bring chunks of them, unless this member has or gets a
// slot. What is left of such a message shows that the leader is there. A compaction under way has the slot on the disk; the leader
// sends the first chunk again.
func (g *Group) limitIncomingSnapshots(messages []replica.Message) {
	for i := range messages {
		message := &messages[i]
		if message.Kind != replica.InstallSnapshot || g.receiving {
			continue
		}
		g.cancelCompaction()
		if g.receiving = g.compaction == nil && g.options.ReceiveLimiter.tryAcquire(); !g.receiving {
			message.Snapshot = nil
		}
	}
}

// releaseSnapshotSlot returns this member's slot once it no longer receives a snapshot.
func (g *Group) releaseSnapshotSlot(receiving bool) {
	if g.receiving && !receiving {
		g.receiving = false
		g.options.ReceiveLimiter.release()
	}
}

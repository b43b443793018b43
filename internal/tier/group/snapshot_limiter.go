package group

import (
	"slices"
	"sync"

	"mastusher/internal/tier/replica"
)

// SnapshotLimiter bounds how many members of a process receive snapshots at the same time. A member without a slot does
// everything else. When a slot is free, the one that has waited for the longest time asks its leader for the first chunk again;
// the leader also sends that again after a while.
type SnapshotLimiter struct {
	mutex   sync.Mutex
	free    int      // slots
	waiting []*Group // that were refused a slot since they last had one
}

// NewSnapshotLimiter returns a limiter with so many slots.
func NewSnapshotLimiter(members int) *SnapshotLimiter { return &SnapshotLimiter{free: members} }

// tryAcquire takes a slot for a member, or has it wait for one.
func (l *SnapshotLimiter) tryAcquire(g *Group) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isWaiting := func(o *Group) bool { return o == g }
	if l.free == 0 {
		if !slices.ContainsFunc(l.waiting, isWaiting) {
			l.waiting = append(l.waiting, g)
		}
		return false
	}
	l.waiting = slices.DeleteFunc(l.waiting, isWaiting)
	l.free--
	return true
}

// release returns a slot, and tells the member that has waited for the longest time.
func (l *SnapshotLimiter) release() {
	l.mutex.Lock()
	l.free++
	var next *Group
	if len(l.waiting) > 0 {
		next = l.waiting[0]
		l.waiting = slices.Delete(l.waiting, 0, 1)
	}
	l.mutex.Unlock()
	if next != nil {
		next.requestSnapshot()
	}
}

// requestSnapshot has the member ask its leader for the snapshot that it had no capacity for. It takes no lock of the member, since
// other members call it.
func (g *Group) requestSnapshot() {
	g.snapshotWanted.Store(true)
	g.signal()
}

// limitIncomingSnapshots removes the snapshots from messages that bring chunks of them, unless this member has or gets a
// slot. What is left of such a message shows that the leader is there, and which snapshot it has. A compaction under way has the
// slot on the disk; it is canceled.
func (g *Group) limitIncomingSnapshots(messages []replica.Message) {
	for i := range messages {
		message := &messages[i]
		if message.Kind != replica.InstallSnapshot || message.Snapshot == nil || g.receiving {
			continue
		}
		g.cancelCompaction()
		if g.receiving = g.compaction == nil && g.options.ReceiveLimiter.tryAcquire(g); !g.receiving {
			message.Index, message.Snapshot = message.Snapshot.Index, nil
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

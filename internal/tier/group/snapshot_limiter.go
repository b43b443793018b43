package group

import (
	"slices"
	"sync"

	"mastusher/internal/tier/replica"
)

// SnapshotLimiter bounds how many members of a process receive snapshots at the same time. A member without a receive slot works
// normally otherwise. When a slot becomes free, the member that has waited longest asks its leader for the first chunk again; the
// leader also resends that chunk by itself after a while.
type SnapshotLimiter struct {
	mutex   sync.Mutex
	free    int      // number of free slots
	waiting []*Group // members that were refused a slot, the longest waiting first
}

// NewSnapshotLimiter returns a limiter that lets the given number of members receive at once.
func NewSnapshotLimiter(members int) *SnapshotLimiter { return &SnapshotLimiter{free: members} }

// tryAcquire takes a slot for a member, or adds the member to the waiting ones and returns false.
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

// release frees a slot and signals the member that has waited longest.
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

// requestSnapshot makes the member ask its leader for the snapshot that it refused before. Other members' goroutines call it, so it
// takes none of the member's locks.
func (g *Group) requestSnapshot() {
	g.snapshotRequested.Store(true)
	g.signal()
}

// limitIncomingSnapshots removes the chunks from InstallSnapshot messages unless this member has or gets a receive slot. The rest
// of the message still proves that the leader is alive, and names its snapshot. A running compaction uses the same slot on disk as
// a received snapshot; it is canceled, and the chunk is refused until it has ended.
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

// releaseReceiveSlot releases this member's receive slot unless it is still receiving a snapshot.
func (g *Group) releaseReceiveSlot(receiving bool) {
	if g.receiving && !receiving {
		g.receiving = false
		g.options.ReceiveLimiter.release()
	}
}

package group

import (
	"sync"

	"mastusher/internal/tier/replica"
)

// SnapshotLimiter bounds how many members of a process receive snapshots at the same time. A member that isn't admitted goes on
// with all else; its owner sends the first part again after a while.
type SnapshotLimiter struct {
	mutex sync.Mutex
	free  int
}

// NewSnapshotLimiter admits so many members at a time.
func NewSnapshotLimiter(members int) *SnapshotLimiter { return &SnapshotLimiter{free: members} }

func (a *SnapshotLimiter) enter() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.free == 0 {
		return false
	}
	a.free--
	return true
}

func (a *SnapshotLimiter) leave() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.free++
}

// admit takes the snapshots out of messages that bring parts of them, unless this member may receive one now. What is left of
// such a message shows that the owner is there.
func (g *Group) admit(messages []replica.Message) {
	for i := range messages {
		message := &messages[i]
		if message.Kind != replica.InstallSnapshot || g.admitted {
			continue
		}
		if g.admitted = g.options.ReceiveLimiter.enter(); !g.admitted {
			message.Snapshot = nil
		}
	}
}

// release lets another member of the process receive a snapshot once this one doesn't any more.
func (g *Group) release(receiving bool) {
	if g.admitted && !receiving {
		g.admitted = false
		g.options.ReceiveLimiter.leave()
	}
}

package replica

import (
	"testing"
	"time"
)

// TestSnapshot_FirstChunkDropped_IsRetriedSoon has a member that takes no snapshot for a while, since its process receives others, and goes on
// soon after.
func TestSnapshot_FirstChunkDropped_IsRetriedSoon(t *testing.T) {
	for seed := range uint64(6) {
		s, _ := newCompactedGroup(t, 40+seed, 3, 1)
		busy := true
		s.drop = func(m Message) bool { return busy && m.Kind == InstallSnapshot }
		s.setTargetMembers(membersOf(s.nodes...))
		s.runFor(7*testElection + time.Duration(seed)*7*time.Millisecond)

		// When its process has a free slot, it has the complete snapshot soon.
		busy = false
		began := s.now
		if !s.runUntil(s.now+time.Second, func() bool { return s.nodes[3].machine.Index > 0 }) {
			t.Fatal("it gets no snapshot")
		}
		if took := s.now - began; took > (firstChunkRetryHeartbeats+2)*testHeartbeat {
			t.Errorf("seed %d: the snapshot is there %v later", seed, took)
		}
		s.requireSafe(t)
	}
}

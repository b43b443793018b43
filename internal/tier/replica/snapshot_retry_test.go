package replica

import (
	"testing"
	"time"
)

// TestSnapshot_FirstChunkDropped_IsRetriedSoon drops all chunks to a member for a while, as if its process were receiving
// other snapshots. The transfer must begin soon after the process is free again.
func TestSnapshot_FirstChunkDropped_IsRetriedSoon(t *testing.T) {
	for seed := range uint64(6) {
		s, _ := newCompactedGroup(t, 40+seed, 3, 1)
		busy := true
		s.drop = func(m Message) bool { return busy && m.Kind == InstallSnapshot }
		s.setTargetMembers(membersOf(s.nodes...))
		s.runFor(7*testElection + time.Duration(seed)*7*time.Millisecond)

		// When the process is free, the member soon has the complete snapshot.
		busy = false
		began := s.now
		if !s.runUntil(s.now+time.Second, func() bool { return s.nodes[3].machine.Index > 0 }) {
			t.Fatal("the member gets no snapshot")
		}
		if took := s.now - began; took > (firstChunkRetryHeartbeats+2)*testHeartbeat {
			t.Errorf("seed %d: the snapshot is installed only after %v", seed, took)
		}
		s.requireSafe(t)
	}
}

package group_test

import (
	"testing"
)

func TestStatus_LeaderStalled_ReportsNoLeadership(t *testing.T) {
	// Given a leader,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	// when it runs no iteration for longer than an election timeout, since its process or its disk is stalled,
	single.now += heartbeat + election + step
	// then it doesn't report itself as the leader until it has run an iteration.
	if status := single.group.Status(); status.IsLeader || status.Leader != "" {
		t.Errorf("the stalled leader's status is %+v, want no leader", status)
	}
	single.becomeLeader()
}

func TestStatus_LeaderNotHeard_IsNotNamed(t *testing.T) {
	// Given a member that knows its leader,
	single := newSingle(t, 1<<30, "a", "b", "c")
	message := appendEntries(1, 0, 0, 0)
	message.To = member("a").ID
	single.run(message)
	if got := single.group.Status().Leader; got != member("b").ID {
		t.Fatalf("the leader is %q, want id-b", got)
	}
	// when it doesn't hear from the leader for longer than an election timeout,
	single.now += election
	if got := single.group.Status().Leader; got != member("b").ID {
		t.Errorf("within the election timeout, the leader is %q, want id-b", got)
	}
	single.now += step
	// then it reports no leader, even before an iteration in which it could campaign,
	if got := single.group.Status().Leader; got != "" {
		t.Errorf("after the election timeout, the leader is still %q", got)
	}
	// until it hears from the leader again.
	single.run(message)
	if got := single.group.Status().Leader; got != member("b").ID {
		t.Errorf("after another message, the leader is %q, want id-b", got)
	}
}

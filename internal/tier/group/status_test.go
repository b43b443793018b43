package group_test

import (
	"testing"
)

func TestStatus_LeaderStalled_ReportsNoLeadership(t *testing.T) {
	// Given a leader,
	single := newSingle(t, 0, "a")
	single.becomeLeader()
	// when it has no iteration for longer than an election timeout, since its process or its disk is stalled,
	single.now += heartbeat + election + step
	// then it doesn't say any more that it leads the group, until it has had an iteration.
	if status := single.group.Status(); status.IsLeader || status.Leader != "" {
		t.Errorf("its status is %+v", status)
	}
	single.becomeLeader()
}

func TestStatus_LeaderNotHeard_IsNotNamed(t *testing.T) {
	// Given a member that has a leader,
	single := newSingle(t, 1<<30, "a", "b", "c")
	message := appendEntries(1, 0, 0, 0)
	message.To = member("a").ID
	single.run(message)
	if got := single.group.Status().Leader; got != member("b").ID {
		t.Fatalf("its leader is %q", got)
	}
	// when it hears nothing of that one for an election timeout, whether it has iterations meanwhile or is stalled,
	single.now += election
	if got := single.group.Status().Leader; got != member("b").ID {
		t.Errorf("it names %q within the timeout", got)
	}
	single.now += step
	// then it names none, also before it campaigns itself,
	if got := single.group.Status().Leader; got != "" {
		t.Errorf("it still names %q", got)
	}
	// until it hears of one again.
	single.run(message)
	if got := single.group.Status().Leader; got != member("b").ID {
		t.Errorf("its leader is %q", got)
	}
}

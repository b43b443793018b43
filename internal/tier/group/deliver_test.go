package group_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/replica"
)

func TestDeliver_QueueFull_DropsMessages(t *testing.T) {
	// Given a member that runs no iteration while its leader keeps sending,
	single := newSingle(t, 1<<30, "a", "b", "c")
	const messages, size = 64, 256 << 10
	for index := uint64(1); index <= messages; index++ {
		message := appendEntries(1, index-1, min(index-1, 1), 0, command(index, 1, strings.Repeat("x", size)))
		message.To = member("a").ID
		single.group.Deliver(message)
	}
	// when it runs an iteration,
	single.run()
	// then it has queued only as many messages as the limit allows, and accepts the entries that follow when they are sent again.
	last := single.group.Status().LastIndex
	if last == 0 || last > 16 {
		t.Fatalf("the member accepted %d of %d messages of %d bytes, want 1 to 16", last, messages, size)
	}
	single.run(appendEntries(1, last, 1, 0, command(last+1, 1, "y")))
	if got := single.group.Status().LastIndex; got != last+1 {
		t.Errorf("the member's last entry is %d, want %d", got, last+1)
	}
}

func TestDeliver_QueueEmpty_TakesLargeMessage(t *testing.T) {
	// Given a member with an empty queue,
	single := newSingle(t, 1<<30, "a", "b", "c")
	state := `{"Commands":["` + strings.Repeat("x", 8<<20) + `"]}`
	// when a snapshot chunk arrives that exceeds the queue's limit,
	single.run(replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: 1,
		Snapshot: &replica.Snapshot{Index: 7, Term: 1, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: []byte(state)}})
	// then the member installs the snapshot.
	if got := single.group.Status().Commit; got != 7 {
		t.Errorf("the member's commit index is %d, want 7", got)
	}
}

func TestDeliver_MessagesQueued_TakesOneLargeChunk(t *testing.T) {
	// Given a member with heartbeats of its leader in its queue,
	single := newSingle(t, 1<<30, "a", "b", "c")
	state := `{"Commands":["` + strings.Repeat("x", 8<<20) + `"]}`
	install := replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: 1,
		Snapshot: &replica.Snapshot{Index: 9, Term: 1, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: []byte(state)}}
	duplicate := install
	copied := *install.Snapshot
	duplicate.Snapshot = &copied
	// when a snapshot chunk that exceeds the queue's limit arrives twice,
	single.run(appendEntries(1, 0, 0, 0), appendEntries(1, 0, 0, 0), install, appendEntries(1, 0, 0, 0), duplicate)
	// then it is queued once.
	if got := single.group.Status().Commit; got != 9 {
		t.Errorf("the member's commit index is %d, want 9", got)
	}
	if len(single.machine.Commands) != 1 {
		t.Errorf("the state machine holds %d commands, want 1", len(single.machine.Commands))
	}
	if duplicate.Snapshot.State == nil {
		t.Error("the state was queued twice")
	}
}

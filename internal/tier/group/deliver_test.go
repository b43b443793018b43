package group_test

import (
	"strings"
	"testing"

	"mastusher/internal/tier/replica"
)

func TestDeliver_QueueFull_DropsMessages(t *testing.T) {
	// Given a member that has no iteration while its leader goes on sending,
	single := newSingle(t, 1<<30, "a", "b", "c")
	const messages, size = 64, 256 << 10
	for index := uint64(1); index <= messages; index++ {
		message := appendEntries(1, index-1, min(index-1, 1), 0, command(index, 1, strings.Repeat("x", size)))
		message.To = member("a").ID
		single.group.Deliver(message)
	}
	// when it gets an iteration,
	single.run()
	// then it takes in only so much, and goes on from there with what comes again.
	last := single.group.Status().LastIndex
	if last == 0 || last > 16 {
		t.Fatalf("it took in %d of %d messages of %d bytes", last, messages, size)
	}
	single.run(appendEntries(1, last, 1, 0, command(last+1, 1, "y")))
	if got := single.group.Status().LastIndex; got != last+1 {
		t.Errorf("its last entry is %d, want %d", got, last+1)
	}
}

func TestDeliver_QueueEmpty_TakesLargeMessage(t *testing.T) {
	// Given a member that lacks a state longer than what may wait,
	single := newSingle(t, 1<<30, "a", "b", "c")
	state := `{"Commands":["` + strings.Repeat("x", 8<<20) + `"]}`
	// when that comes,
	single.run(replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: 1,
		Snapshot: &replica.Snapshot{Index: 7, Term: 1, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: []byte(state)}})
	// then it takes it over.
	if got := single.group.Status().Commit; got != 7 {
		t.Errorf("it is at entry %d, want 7", got)
	}
}

func TestDeliver_MessagesQueued_TakesOneLargeChunk(t *testing.T) {
	// Given a member that lacks a state longer than what may wait, with heartbeats of its leader queued for it,
	single := newSingle(t, 1<<30, "a", "b", "c")
	state := `{"Commands":["` + strings.Repeat("x", 8<<20) + `"]}`
	install := replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: 1,
		Snapshot: &replica.Snapshot{Index: 9, Term: 1, Members: []replica.Member{member("a"), member("b"), member("c")}, Chunks: 1, State: []byte(state)}}
	duplicate := install
	copied := *install.Snapshot
	duplicate.Snapshot = &copied
	// when the state comes, and comes again,
	single.run(appendEntries(1, 0, 0, 0), appendEntries(1, 0, 0, 0), install, appendEntries(1, 0, 0, 0), duplicate)
	// then it is taken once.
	if got := single.group.Status().Commit; got != 9 {
		t.Errorf("it holds what is committed up to %d, want 9", got)
	}
	if len(single.machine.Commands) != 1 {
		t.Errorf("its machine holds %d commands, want 1", len(single.machine.Commands))
	}
	if duplicate.Snapshot.State == nil {
		t.Error("the state came in twice")
	}
}

package group_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// chunk is a chunk of a snapshot as the leader b of a term sends it.
func chunk(term, index uint64, number, chunks int, content string) replica.Message {
	return replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: term, Chunk: number,
		Snapshot: &replica.Snapshot{Index: index, Term: term, Chunks: chunks, Members: []replica.Member{member("a"), member("b"), member("c")},
			State: json.RawMessage(content)}}
}

// newReceivers opens members of several groups that share a limiter with one slot.
func newReceivers(t *testing.T, count int) (run func(number int, messages ...replica.Message), machines []*chunkedList, groups []*group.Group) {
	t.Helper()
	admission := group.NewSnapshotLimiter(1)
	now := time.Duration(0)
	for number := range count {
		machine := &chunkedList{}
		own := member("a")
		opened, err := group.Open(group.Options{Name: fmt.Sprint("g", number), Disk: memorydisk.New(), StateMachine: machine, Logger: log.NewNopLogger(),
			ReceiveLimiter: admission, Clock: func() time.Duration { return now }, Send: func(string, group.Envelope) {},
			Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{member("a"), member("b"), member("c")},
				HeartbeatInterval: heartbeat, ElectionTimeout: election, Seed: 1}})
		if err != nil {
			t.Fatal(err)
		}
		machines, groups = append(machines, machine), append(groups, opened)
	}
	run = func(number int, messages ...replica.Message) {
		t.Helper()
		now += heartbeat
		for _, message := range messages {
			message.To = member("a").ID
			groups[number].Deliver(message)
		}
		if _, err := groups[number].RunOnce(); err != nil {
			t.Fatal(err)
		}
	}
	return run, machines, groups
}

func TestSnapshotLimiter_TwoMembers_ReceiveInTurn(t *testing.T) {
	// Given a member that is in the middle of a snapshot,
	run, machines, groups := newReceivers(t, 2)
	run(0, chunk(1, 9, 0, 3, `"begin"`))
	// when another one of the process is sent one, again and again,
	for range 20 {
		run(1, chunk(1, 5, 0, 2, `"begin"`))
		run(0, chunk(1, 9, 0, 3, `"begin"`))
	}
	// then that takes none of it, and knows its leader,
	if status := groups[1].Status(); status.Leader != member("b").ID || status.LastIndex != 0 {
		t.Errorf("the status of the one that waits is %+v", status)
	}
	run(1, chunk(1, 5, 1, 2, `"x"`))
	if len(machines[1].Commands) != 0 {
		t.Error("it has taken a snapshot over beside the first one")
	}
	// until the first one has its complete snapshot.
	run(0, chunk(1, 9, 1, 3, `"x"`), chunk(1, 9, 2, 3, `"y"`))
	if got := groups[0].Status().Commit; got != 9 {
		t.Fatalf("the first one is at entry %d", got)
	}
	run(1, chunk(1, 5, 0, 2, `"begin"`))
	run(1, chunk(1, 5, 1, 2, `"x"`))
	if got := groups[1].Status().Commit; got != 5 {
		t.Errorf("the second one is at entry %d", got)
	}
}

func TestSnapshotLimiter_SenderLost_SlotIsReleased(t *testing.T) {
	run, _, groups := newReceivers(t, 2)
	run(0, chunk(1, 9, 0, 3, `"begin"`))
	// when nothing more of it comes for a while,
	for range 20 {
		run(0)
		run(1)
	}
	// then another member of the process may receive one.
	run(1, chunk(9, 5, 0, 2, `"begin"`))
	run(1, chunk(9, 5, 1, 2, `"x"`))
	if got := groups[1].Status().Commit; got != 5 {
		t.Errorf("it is at entry %d", got)
	}
}

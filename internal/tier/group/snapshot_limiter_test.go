package group_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// chunk returns a message with a snapshot chunk from member b as the leader of the term.
func chunk(term, index uint64, number, chunks int, content string) replica.Message {
	return replica.Message{Kind: replica.InstallSnapshot, From: member("b").ID, Address: member("b").Address, Term: term, Chunk: number,
		Snapshot: &replica.Snapshot{Index: index, Term: term, Chunks: chunks, Members: []replica.Member{member("a"), member("b"), member("c")},
			State: json.RawMessage(content)}}
}

// newReceivers opens members of several groups that share a limiter with one receive slot. The function run delivers messages to
// one of the members and runs an iteration.
func newReceivers(t *testing.T, count int) (run func(number int, messages ...replica.Message), machines []*chunkedList, groups []*group.Group) {
	t.Helper()
	run, machines, groups, _ = openReceivers(t, count)
	return run, machines, groups
}

// newRecordingReceivers is newReceivers, but also returns the messages that each member has sent.
func newRecordingReceivers(t *testing.T, count int) (run func(number int, messages ...replica.Message), groups []*group.Group, sent map[int][]replica.Message) {
	t.Helper()
	run, _, groups, sent = openReceivers(t, count)
	return run, groups, sent
}

func openReceivers(t *testing.T, count int) (run func(number int, messages ...replica.Message), machines []*chunkedList, groups []*group.Group,
	sent map[int][]replica.Message) {
	t.Helper()
	sent = map[int][]replica.Message{}
	limiter := group.NewSnapshotLimiter(1)
	now := time.Duration(0)
	for number := range count {
		machine := &chunkedList{}
		own := member("a")
		opened, err := group.Open(group.Options{Name: fmt.Sprint("g", number), Disk: memorydisk.New(), StateMachine: machine, Logger: log.NewNopLogger(),
			ReceiveLimiter: limiter, Clock: func() time.Duration { return now },
			Send: func(_ string, envelope group.Envelope) { sent[number] = append(sent[number], envelope.Message) },
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
	return run, machines, groups, sent
}

func TestSnapshotLimiter_TwoMembers_ReceiveInTurn(t *testing.T) {
	// Given a member that is receiving a snapshot,
	run, machines, groups := newReceivers(t, 2)
	run(0, chunk(1, 9, 0, 3, `"begin"`))
	// when another member of the process is repeatedly sent the first chunk of a snapshot,
	for range 20 {
		run(1, chunk(1, 5, 0, 2, `"begin"`))
		run(0, chunk(1, 9, 0, 3, `"begin"`))
	}
	// then the second member refuses the chunk but still reports its leader,
	if status := groups[1].Status(); status.Leader != member("b").ID || status.LastIndex != 0 {
		t.Errorf("the status of the waiting member is %+v, want leader id-b and last index 0", status)
	}
	run(1, chunk(1, 5, 1, 2, `"x"`))
	if len(machines[1].Commands) != 0 {
		t.Error("the second member has installed a snapshot while the first one was receiving")
	}
	// until the first member has its complete snapshot.
	run(0, chunk(1, 9, 1, 3, `"x"`), chunk(1, 9, 2, 3, `"y"`))
	if got := groups[0].Status().Commit; got != 9 {
		t.Fatalf("the first member's commit index is %d, want 9", got)
	}
	run(1, chunk(1, 5, 0, 2, `"begin"`))
	run(1, chunk(1, 5, 1, 2, `"x"`))
	if got := groups[1].Status().Commit; got != 5 {
		t.Errorf("the second member's commit index is %d, want 5", got)
	}
}

func TestSnapshotLimiter_SenderLost_SlotIsReleased(t *testing.T) {
	run, _, groups := newReceivers(t, 2)
	run(0, chunk(1, 9, 0, 3, `"begin"`))
	// When no more chunks arrive for a while,
	for range 20 {
		run(0)
		run(1)
	}
	// then another member of the process may receive a snapshot.
	run(1, chunk(9, 5, 0, 2, `"begin"`))
	run(1, chunk(9, 5, 1, 2, `"x"`))
	if got := groups[1].Status().Commit; got != 5 {
		t.Errorf("the second member's commit index is %d, want 5", got)
	}
}

func TestSnapshotLimiter_SlotFree_LongestWaitingAsksItsLeader(t *testing.T) {
	// Given member 0 that is receiving a snapshot, and members 2 and 1 that wait for the slot in this order,
	run, groups, sent := newRecordingReceivers(t, 3)
	run(0, chunk(1, 9, 0, 2, `"begin"`))
	run(2, chunk(1, 5, 0, 2, `"begin"`))
	run(1, chunk(1, 7, 0, 2, `"begin"`))
	// when member 0 has the complete snapshot,
	run(0, chunk(1, 9, 1, 2, `"x"`))
	run(1)
	run(2)
	// then member 2, which has waited longest, asks its leader for the first chunk, and member 1 doesn't.
	want := replica.Message{Kind: replica.InstallSnapshotResponse, From: member("a").ID, To: member("b").ID, Term: 1, Index: 5, Reject: true,
		Address: member("a").Address}
	if got := requestsIn(sent[2]); len(got) != 1 || !reflect.DeepEqual(got[0], want) {
		t.Errorf("member 2 has requested %+v, want %+v", got, want)
	}
	if got := requestsIn(sent[1]); len(got) != 0 {
		t.Errorf("member 1 has requested %+v, want nothing", got)
	}
	// Once member 2 has its snapshot, member 1 asks for its own.
	run(2, chunk(1, 5, 0, 2, `"begin"`), chunk(1, 5, 1, 2, `"x"`))
	run(1)
	if got := requestsIn(sent[1]); len(got) != 1 || groups[2].Status().Commit != 5 {
		t.Errorf("member 1 has requested %+v, want 1 message; member 2's commit index is %d, want 5", got, groups[2].Status().Commit)
	}
}

// requestsIn returns the messages that request the first chunk of a snapshot.
func requestsIn(sent []replica.Message) []replica.Message {
	return slices.DeleteFunc(slices.Clone(sent), func(m replica.Message) bool {
		return m.Kind != replica.InstallSnapshotResponse || m.Chunk != 0 || !m.Reject
	})
}

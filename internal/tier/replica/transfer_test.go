package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// partOfSnapshot is a part of a snapshot up to index as an owner sends it to b.
func partOfSnapshot(from string, epoch, index uint64, number int) Message {
	return Message{Kind: InstallSnapshot, From: from, To: "b", Term: epoch, Chunk: number,
		Snapshot: &Snapshot{Index: index, Term: 2, Chunks: 3, Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, State: []byte{byte('0' + number)}}}
}

// targetMembers is what a follower answers to a part.
type wanted struct {
	Index    uint64
	Part     int
	Rejected bool
}

func TestFollowerAndPartsOfSnapshots(t *testing.T) {
	type given struct {
		name      string
		before    []Message
		message   Message
		answer    wanted
		received  []Chunk
		receiving bool
		installed bool
	}
	first, second, third := partOfSnapshot("a", 2, 9, 0), partOfSnapshot("a", 2, 9, 1), partOfSnapshot("a", 2, 9, 2)
	cases := []given{
		{name: "the first", message: first, answer: wanted{Index: 9, Part: 1}, received: []Chunk{{0, []byte("0")}}, receiving: true},
		{name: "a later one at first", message: second, answer: wanted{Index: 9, Part: 0, Rejected: true}},
		{name: "the next", before: []Message{first}, message: second, answer: wanted{Index: 9, Part: 2}, received: []Chunk{{1, []byte("1")}}, receiving: true},
		{name: "a gap", before: []Message{first}, message: third, answer: wanted{Index: 9, Part: 1, Rejected: true}, receiving: true},
		{name: "the first again", before: []Message{first, second}, message: first, answer: wanted{Index: 9, Part: 2}, receiving: true},
		{name: "a newer snapshot", before: []Message{first, second}, message: partOfSnapshot("a", 2, 12, 0), answer: wanted{Index: 12, Part: 1},
			received: []Chunk{{0, []byte("0")}}, receiving: true},
		{name: "a later part of a newer snapshot", before: []Message{first}, message: partOfSnapshot("a", 2, 12, 1), answer: wanted{Index: 12, Part: 0, Rejected: true}},
		{name: "late, of an older snapshot", before: []Message{first}, message: partOfSnapshot("a", 2, 7, 0), receiving: true},
		{name: "of a new owner", before: []Message{first}, message: partOfSnapshot("c", 3, 9, 1), answer: wanted{Index: 9, Part: 0, Rejected: true}},
		{name: "of an owner whose epoch is over", before: []Message{first, partOfSnapshot("c", 3, 9, 0)}, message: second, receiving: true},
		{name: "the last", before: []Message{first, second}, message: third, received: []Chunk{{2, []byte("2")}}, installed: true},
		{name: "without a snapshot", before: []Message{first}, message: Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 2}, receiving: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := givenFollower(t, 2, 1)
			for _, message := range tc.before {
				if r.Step(0, Input{Messages: []Message{message}}); r.Status().LastIndex != 1 || r.Status().Commit != 0 {
					t.Fatalf("half a snapshot counts: %+v", r.Status())
				}
			}
			effects := r.Step(0, Input{Messages: []Message{tc.message}})
			var got wanted
			for _, answer := range effects.MessagesAfterSync {
				if answer.Kind == InstallSnapshotResponse {
					got = wanted{Index: answer.Index, Part: answer.Chunk, Rejected: answer.Reject}
				}
			}
			if got != tc.answer {
				t.Errorf("answer %+v, want %+v", got, tc.answer)
			}
			if diff := cmp.Diff(tc.received, effects.ReceivedChunks); diff != "" {
				t.Errorf("received (-want +got):\n%s", diff)
			}
			if r.IsReceivingSnapshot() != tc.receiving || (effects.Snapshot != nil) != tc.installed {
				t.Errorf("receiving %v, installed %+v", r.IsReceivingSnapshot(), effects.Snapshot)
			}
		})
	}
}

func TestFollowerGivesUpASnapshotWhenNoMoreOfItComes(t *testing.T) {
	// Given a follower that has received a part,
	r := givenFollower(t, 2, 1)
	effects := r.Step(0, Input{Messages: []Message{partOfSnapshot("a", 2, 9, 0)}})
	due := r.incoming.deadline
	if effects.NextWake > due {
		t.Errorf("it sleeps until %v, and gives the snapshot up at %v", effects.NextWake, due)
	}
	// when its owner goes on and sends no more parts, then it gives the snapshot up in time.
	for now := time.Duration(0); now <= due; now += testHeartbeat {
		r.Step(now, Input{Messages: []Message{{Kind: AppendEntries, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1}}})
		if r.IsReceivingSnapshot() != (now < due) {
			t.Fatalf("receiving %v at %v", r.IsReceivingSnapshot(), now)
		}
	}
}

func TestCompactionGivesUpASnapshotThatIsReceived(t *testing.T) {
	r := givenFollower(t, 2, 1, 1)
	r.Step(0, Input{Messages: []Message{{Kind: AppendEntries, From: "a", To: "b", Term: 2, Index: 2, LogTerm: 1, Commit: 2}}})
	r.Step(0, Input{Messages: []Message{partOfSnapshot("a", 2, 9, 0)}})
	mark := r.SnapshotMetadata()
	effects := r.Step(0, Input{Compact: &mark, Messages: []Message{partOfSnapshot("a", 2, 9, 1)}})
	if r.IsReceivingSnapshot() || len(effects.ReceivedChunks) > 0 {
		t.Errorf("it goes on with a snapshot whose parts are gone: %+v", effects.ReceivedChunks)
	}
}

// givenSender makes an owner by hand with a snapshot that c lacks.
func givenSender(t *testing.T) *handDriven {
	t.Helper()
	p := givenOwnerByHand(t, "a", "b", "c")
	for token := range uint64(200) {
		p.step(Input{Proposals: []Proposal{command(token, 1)}})
	}
	p.acknowledge("b", 150)
	mark := p.r.SnapshotMetadata()
	mark.Chunks = 9
	p.step(Input{Compact: &mark})
	return p
}

// answerPart tells the owner which part c wants, and returns the parts that it sends.
func (p *handDriven) answerPart(part int, rejected bool) []int {
	effects := p.step(Input{Messages: []Message{{Kind: InstallSnapshotResponse, From: "c", To: "a", Term: 1, Index: p.r.snapshotIndex(), Chunk: part, Reject: rejected}}})
	return partsIn(effects.MessagesBeforeSync)
}

func partsIn(messages []Message) []int {
	var parts []int
	for _, message := range messages {
		if message.Kind == InstallSnapshot {
			parts = append(parts, message.Chunk)
		}
	}
	return parts
}

func TestOwnerSendsAFewPartsAhead(t *testing.T) {
	p := givenSender(t)
	effects := p.step(Input{Messages: []Message{{Kind: AppendEntriesResponse, From: "c", To: "a", Term: 1, Index: 201, Reject: true, RejectHint: 0}}})
	if diff := cmp.Diff([]int{0}, partsIn(effects.MessagesBeforeSync)); diff != "" {
		t.Fatalf("at first (-want +got):\n%s", diff)
	}
	if p.r.IsSendingSnapshot() {
		t.Error("a snapshot counts as being sent though nothing of it has arrived")
	}
	for _, step := range []struct {
		name     string
		part     int
		rejected bool
		sent     []int
	}{
		{name: "the first has arrived", part: 1, sent: []int{1, 2}},
		{name: "two have arrived", part: 3, sent: []int{3, 4}},
		{name: "an old answer comes late", part: 2},
		{name: "one is missing", part: 3, rejected: true, sent: []int{3, 4}},
		{name: "it is still missing, and on its way", part: 3, rejected: true},
		{name: "it has arrived", part: 5, sent: []int{5, 6}},
		{name: "the member begins anew", part: 0, rejected: true, sent: []int{0}},
		{name: "more than there are", part: 10},
	} {
		if diff := cmp.Diff(step.sent, p.answerPart(step.part, step.rejected)); diff != "" {
			t.Fatalf("%s (-want +got):\n%s", step.name, diff)
		}
	}
	p.answerPart(8, false)
	if !p.r.IsSendingSnapshot() {
		t.Error("no snapshot counts as being sent")
	}
	// What is lost without an answer is sent again after a while, as long as the member answers at all.
	p.now += 2 * testElection
	effects = p.step(Input{Messages: []Message{{Kind: AppendEntriesResponse, From: "c", To: "a", Term: 1}, {Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 201}}})
	if diff := cmp.Diff([]int{8}, partsIn(effects.MessagesBeforeSync)); diff != "" {
		t.Errorf("after a while (-want +got):\n%s", diff)
	}
}

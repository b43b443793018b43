package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// chunkMessage returns a message from the given leader to b with one chunk of a snapshot up to index.
func chunkMessage(from string, term, index uint64, number int) Message {
	return Message{Kind: InstallSnapshot, From: from, To: "b", Term: term, Chunk: number,
		Snapshot: &Snapshot{Index: index, Term: 2, Chunks: 3, Members: []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}, State: []byte{byte('0' + number)}}}
}

// chunkResponse is the part of a follower's response to a chunk that is checked.
type chunkResponse struct {
	Index    uint64
	Chunk    int
	Rejected bool
}

func TestFollower_SnapshotChunks_AreTakenInOrder(t *testing.T) {
	type testCase struct {
		name      string
		before    []Message
		message   Message
		response  chunkResponse
		received  []Chunk
		receiving bool
		installed bool
	}
	first, second, third := chunkMessage("a", 2, 9, 0), chunkMessage("a", 2, 9, 1), chunkMessage("a", 2, 9, 2)
	cases := []testCase{
		{name: "the first chunk", message: first, response: chunkResponse{Index: 9, Chunk: 1}, received: []Chunk{{0, []byte("0")}}, receiving: true},
		{name: "a later chunk without the first", message: second, response: chunkResponse{Index: 9, Chunk: 0, Rejected: true}},
		{name: "the next chunk", before: []Message{first}, message: second, response: chunkResponse{Index: 9, Chunk: 2}, received: []Chunk{{1, []byte("1")}}, receiving: true},
		{name: "a gap", before: []Message{first}, message: third, response: chunkResponse{Index: 9, Chunk: 1, Rejected: true}, receiving: true},
		{name: "the first chunk again", before: []Message{first, second}, message: first, response: chunkResponse{Index: 9, Chunk: 2}, receiving: true},
		{name: "a newer snapshot", before: []Message{first, second}, message: chunkMessage("a", 2, 12, 0), response: chunkResponse{Index: 12, Chunk: 1},
			received: []Chunk{{0, []byte("0")}}, receiving: true},
		{name: "a later chunk of a newer snapshot", before: []Message{first}, message: chunkMessage("a", 2, 12, 1), response: chunkResponse{Index: 12, Chunk: 0, Rejected: true}},
		{name: "a delayed chunk of an older snapshot", before: []Message{first}, message: chunkMessage("a", 2, 7, 0), receiving: true},
		{name: "a later chunk from a new leader", before: []Message{first}, message: chunkMessage("c", 3, 9, 1), response: chunkResponse{Index: 9, Chunk: 0, Rejected: true}},
		{name: "a chunk from the leader of an older term", before: []Message{first, chunkMessage("c", 3, 9, 0)}, message: second, receiving: true},
		{name: "the last chunk", before: []Message{first, second}, message: third, received: []Chunk{{2, []byte("2")}}, installed: true},
		{name: "a message without a snapshot", before: []Message{first}, message: Message{Kind: InstallSnapshot, From: "a", To: "b", Term: 2}, receiving: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := newTestFollower(t, 2, 1)
			for _, message := range tc.before {
				if r.Step(0, Input{Messages: []Message{message}}); r.Status().LastIndex != 1 || r.Status().Commit != 0 {
					t.Fatalf("an incomplete snapshot has changed the log: %+v", r.Status())
				}
			}
			ready := r.Step(0, Input{Messages: []Message{tc.message}})
			var got chunkResponse
			for _, response := range ready.MessagesAfterSync {
				if response.Kind == InstallSnapshotResponse {
					got = chunkResponse{Index: response.Index, Chunk: response.Chunk, Rejected: response.Reject}
				}
			}
			if got != tc.response {
				t.Errorf("response %+v, want %+v", got, tc.response)
			}
			if diff := cmp.Diff(tc.received, ready.ReceivedChunks); diff != "" {
				t.Errorf("received (-want +got):\n%s", diff)
			}
			if r.IsReceivingSnapshot() != tc.receiving || (ready.Snapshot != nil) != tc.installed {
				t.Errorf("wrong result: receiving %v, installed %+v", r.IsReceivingSnapshot(), ready.Snapshot)
			}
		})
	}
}

func TestFollower_SnapshotStalls_IsGivenUp(t *testing.T) {
	// Given a follower that has received one chunk,
	r := newTestFollower(t, 2, 1)
	ready := r.Step(0, Input{Messages: []Message{chunkMessage("a", 2, 9, 0)}})
	due := r.incoming.deadline
	if ready.NextWake > due {
		t.Errorf("the next wake is at %v, after the snapshot's deadline %v", ready.NextWake, due)
	}
	// when the leader stays active but sends no more chunks, then the follower aborts the transfer at its deadline.
	for now := time.Duration(0); now <= due; now += testHeartbeat {
		r.Step(now, Input{Messages: []Message{{Kind: AppendEntries, From: "a", To: "b", Term: 2, Index: 1, LogTerm: 1}}})
		if r.IsReceivingSnapshot() != (now < due) {
			t.Fatalf("receiving %v at %v, want receiving only before the deadline", r.IsReceivingSnapshot(), now)
		}
	}
}

func TestCompaction_SnapshotIncoming_IsGivenUp(t *testing.T) {
	r := newTestFollower(t, 2, 1, 1)
	r.Step(0, Input{Messages: []Message{{Kind: AppendEntries, From: "a", To: "b", Term: 2, Index: 2, LogTerm: 1, Commit: 2}}})
	r.Step(0, Input{Messages: []Message{chunkMessage("a", 2, 9, 0)}})
	metadata := r.SnapshotMetadata()
	ready := r.Step(0, Input{Compact: &metadata, Messages: []Message{chunkMessage("a", 2, 9, 1)}})
	if r.IsReceivingSnapshot() || len(ready.ReceivedChunks) > 0 {
		t.Errorf("the follower continues a snapshot whose chunks have been overwritten: %+v", ready.ReceivedChunks)
	}
}

// newSnapshotSender returns a manual leader with a snapshot whose entries c lacks.
func newSnapshotSender(t *testing.T) *manualLeader {
	t.Helper()
	manual := newManualLeader(t, "a", "b", "c")
	for token := range uint64(200) {
		manual.step(Input{Proposals: []Proposal{command(token, 1)}})
	}
	manual.acknowledge("b", 150)
	metadata := manual.r.SnapshotMetadata()
	metadata.Chunks = 9
	manual.step(Input{Compact: &metadata})
	return manual
}

// respondChunk delivers the response that c expects the given chunk next, and returns the numbers of the chunks that the
// leader then sends.
func (m *manualLeader) respondChunk(chunk int, rejected bool) []int {
	ready := m.step(Input{Messages: []Message{{Kind: InstallSnapshotResponse, From: "c", To: "a", Term: 1, Index: m.r.snapshotIndex(), Chunk: chunk, Reject: rejected}}})
	return chunksIn(ready.MessagesBeforeSync)
}

func chunksIn(messages []Message) []int {
	var chunks []int
	for _, message := range messages {
		if message.Kind == InstallSnapshot {
			chunks = append(chunks, message.Chunk)
		}
	}
	return chunks
}

func TestLeader_SnapshotChunks_AreSentAFewAhead(t *testing.T) {
	sender := newSnapshotSender(t)
	ready := sender.step(Input{Messages: []Message{{Kind: AppendEntriesResponse, From: "c", To: "a", Term: 1, Index: 201, Reject: true, RejectHint: 0}}})
	if diff := cmp.Diff([]int{0}, chunksIn(ready.MessagesBeforeSync)); diff != "" {
		t.Fatalf("chunks sent first (-want +got):\n%s", diff)
	}
	if sender.r.IsSendingSnapshot() {
		t.Error("a snapshot counts as being sent although no chunk has been acknowledged")
	}
	for _, step := range []struct {
		name     string
		chunk    int
		rejected bool
		sent     []int
	}{
		{name: "the first chunk has arrived", chunk: 1, sent: []int{1, 2, 3}},
		{name: "two more have arrived", chunk: 3, sent: []int{4, 5, 6, 7}},
		{name: "an outdated response", chunk: 2},
		{name: "a chunk is missing", chunk: 3, rejected: true, sent: []int{3, 4}},
		{name: "the chunk is reported missing again while in flight", chunk: 3, rejected: true},
		{name: "the missing chunk and the next have arrived", chunk: 5, sent: []int{5, 6, 7, 8}},
		{name: "the follower starts over", chunk: 0, rejected: true, sent: []int{0}},
		{name: "a chunk number beyond the last", chunk: 10},
	} {
		if diff := cmp.Diff(step.sent, sender.respondChunk(step.chunk, step.rejected)); diff != "" {
			t.Fatalf("%s: chunks sent (-want +got):\n%s", step.name, diff)
		}
	}
	sender.respondChunk(8, false)
	if !sender.r.IsSendingSnapshot() {
		t.Error("the snapshot does not count as being sent")
	}
	// Unacknowledged chunks are sent again after a while if the follower responds to anything at all.
	sender.now += 2 * testElection
	ready = sender.step(Input{Messages: []Message{{Kind: AppendEntriesResponse, From: "c", To: "a", Term: 1}, {Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 201}}})
	if diff := cmp.Diff([]int{8}, chunksIn(ready.MessagesBeforeSync)); diff != "" {
		t.Errorf("chunks sent again (-want +got):\n%s", diff)
	}
}

func TestChunkWindow_FollowsTheDelayOfChunks(t *testing.T) {
	const quick = 10 * time.Millisecond
	window := newChunkWindow(2, 8)
	now := time.Duration(0)
	// exchange sends a chunk, has it acknowledged after a delay, and returns the resulting window size.
	exchange := func(delay time.Duration) int {
		window.sent(now)
		now += delay
		window.acknowledged(now, 1)
		return window.size
	}
	for _, step := range []struct {
		name  string
		delay time.Duration
		want  int
	}{
		{"the first acknowledgement", quick, 3},
		{"the same delay", quick, 4},
		{"a delay just below the bound", quick + maxChunkQueueDelay - time.Millisecond, 5},
		{"a delay just above the bound", quick + maxChunkQueueDelay + time.Millisecond, 5},
		{"a delay above twice the bound", quick + 2*maxChunkQueueDelay + time.Millisecond, 4},
		{"a new shortest delay", quick / 2, 5},
		{"quick", quick, 6},
		{"quick", quick, 7},
		{"quick", quick, 8},
		{"at the maximum size", quick, 8},
	} {
		if got := exchange(step.delay); got != step.want {
			t.Fatalf("%s: the window is %d, want %d", step.name, got, step.want)
		}
	}
	window.lost()
	window.lost()
	window.lost()
	if window.size != 2 {
		t.Errorf("after three losses the window is %d, want 2", window.size)
	}
	// An acknowledgement of chunks that were sent before the loss must not change the window.
	window.acknowledged(now, 3)
	if window.size != 2 {
		t.Errorf("after a late acknowledgement the window is %d, want 2", window.size)
	}
}

package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestReadIndex_EarlierContext_DoesNotConfirm(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	ready := manual.step(Input{Reads: []uint64{7, 8}})
	if len(ready.Outcomes) != 0 || len(ready.MessagesBeforeSync) != 2 {
		t.Fatalf("ready %+v, want two heartbeats and no outcome", ready)
	}
	context := ready.MessagesBeforeSync[0].ReadContext
	late := Message{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 1, ReadContext: context - 1}
	if ready = manual.step(Input{Messages: []Message{late}}); len(ready.Outcomes) != 0 {
		t.Errorf("a response with an earlier context confirms reads: %+v", ready.Outcomes)
	}
	response := Message{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 1, ReadContext: context}
	ready = manual.step(Input{Messages: []Message{response}})
	want := []Outcome{{Token: 7, Done: true}, {Token: 8, Done: true}}
	if difference := cmp.Diff(want, ready.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
}

func TestReadIndex_ReadsOfOneStep_ShareAContextWithAppends(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	ready := manual.step(Input{Reads: []uint64{1, 2}, Proposals: []Proposal{command(3, 10)}})
	if len(ready.MessagesBeforeSync) != 2 || len(ready.MessagesBeforeSync[0].Entries) != 1 || ready.MessagesBeforeSync[0].ReadContext == 0 {
		t.Errorf("messages %+v, want two appends with the entry and a read context", ready.MessagesBeforeSync)
	}
}

func TestReadIndex_SingleVoter_ConfirmsAtOnce(t *testing.T) {
	manual := newManualLeader(t, "a")
	ready := manual.step(Input{Reads: []uint64{5}})
	if difference := cmp.Diff([]Outcome{{Token: 5, Done: true}}, ready.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
}

func TestReadIndex_AtFollower_IsDropped(t *testing.T) {
	r := newTestFollower(t, 1, 1)
	ready := r.Step(0, Input{Reads: []uint64{5}})
	if difference := cmp.Diff([]Outcome{{Token: 5, Dropped: true}}, ready.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
}

func TestReadIndex_NothingCommittedInTerm_Waits(t *testing.T) {
	sim := newSimulation(3, 3, 0, noFaults)
	sim.startAll()
	sim.runUntil(time.Second, func() bool { return sim.anyLeader() != nil })
	first := sim.anyLeader()
	if first.replica.hasCommittedInTerm() {
		t.Fatal("an entry of the current term is already committed")
	}
	sim.drop = func(m Message) bool { return m.Kind == AppendEntriesResponse && !m.Reject && m.Index > 0 }
	sim.read(first)
	sim.runFor(testElection / 2)
	if sim.checker.reads != 0 {
		t.Error("a read is confirmed before an entry of the current term is committed")
	}
	sim.drop = nil
	sim.runFor(2 * testHeartbeat)
	if sim.checker.reads != 1 {
		t.Errorf("%d reads are confirmed, want 1", sim.checker.reads)
	}
	sim.requireSafe(t)
}

// anyLeader returns a node that leads, even if no entry of its term is committed yet.
func (s *simulation) anyLeader() *node {
	for _, n := range s.nodes {
		if n.alive && n.replica.role == leader {
			return n
		}
	}
	return nil
}

func TestReadIndex_LeaderPartitioned_Fails(t *testing.T) {
	sim, first := newGroupWithLeader(t, 4, 3, 0)
	sim.isolate(first)
	token := sim.read(first)
	var got []Outcome
	sim.onOutcome = func(_ *node, outcome Outcome) { got = append(got, outcome) }
	sim.runFor(testElection + 2*testHeartbeat)
	if difference := cmp.Diff([]Outcome{{Token: token}}, got); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
	sim.requireSafe(t)
}

func TestReadIndex_LeaderWasFrozen_IsNotStale(t *testing.T) {
	sim, first := newGroupWithLeader(t, 5, 3, 0)
	sim.freeze(first)
	sim.runFor(3 * testElection)
	if !sim.commitsWithin(time.Second) {
		t.Fatal("the other members commit nothing while the leader is frozen")
	}
	sim.read(first)
	sim.thaw(first)
	sim.runFor(testElection)
	if sim.checker.reads != 0 {
		t.Error("a leader that was frozen confirms a read after it was replaced")
	}
	sim.requireSafe(t)
}

func TestReadIndex_HeartbeatLost_IsRetried(t *testing.T) {
	sim, first := newGroupWithLeader(t, 6, 3, 0)
	sim.drop = func(m Message) bool { return m.Kind == AppendEntries }
	sim.read(first)
	sim.runFor(testHeartbeat / 4)
	sim.drop = nil
	sim.runFor(2 * testHeartbeat)
	if sim.checker.reads != 1 {
		t.Errorf("%d reads are confirmed, want 1", sim.checker.reads)
	}
}

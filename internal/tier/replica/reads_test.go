package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestReadIsConfirmedByARoundOfItsOwn(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	effects := p.step(Input{Reads: []uint64{7, 8}})
	if len(effects.Outcomes) != 0 || len(effects.MessagesBeforeSync) != 2 {
		t.Fatalf("effects %+v", effects)
	}
	round := effects.MessagesBeforeSync[0].ReadIndexRound
	late := Message{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 1, ReadIndexRound: round - 1}
	if effects = p.step(Input{Messages: []Message{late}}); len(effects.Outcomes) != 0 {
		t.Errorf("an earlier round confirms: %+v", effects.Outcomes)
	}
	answer := Message{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 1, ReadIndexRound: round}
	effects = p.step(Input{Messages: []Message{answer}})
	want := []Outcome{{Token: 7, Done: true}, {Token: 8, Done: true}}
	if difference := cmp.Diff(want, effects.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
}

func TestReadsOfAStepShareARoundWithItsAppends(t *testing.T) {
	p := givenOwnerByHand(t, "a", "b", "c")
	effects := p.step(Input{Reads: []uint64{1, 2}, Proposals: []Proposal{command(3, 10)}})
	if len(effects.MessagesBeforeSync) != 2 || len(effects.MessagesBeforeSync[0].Entries) != 1 || effects.MessagesBeforeSync[0].ReadIndexRound == 0 {
		t.Errorf("messages %+v", effects.MessagesBeforeSync)
	}
}

func TestGroupOfOneConfirmsReadsAtOnce(t *testing.T) {
	p := givenOwnerByHand(t, "a")
	effects := p.step(Input{Reads: []uint64{5}})
	if difference := cmp.Diff([]Outcome{{Token: 5, Done: true}}, effects.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
}

func TestReadElsewhereIsRefused(t *testing.T) {
	r := givenFollower(t, 1, 1)
	effects := r.Step(0, Input{Reads: []uint64{5}})
	if difference := cmp.Diff([]Outcome{{Token: 5, Dropped: true}}, effects.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
}

func TestReadWaitsUntilTheOwnEpochIsOpen(t *testing.T) {
	s := newSimulation(3, 3, 0, calm)
	s.startAll()
	s.runUntil(time.Second, func() bool { return s.newOwner() != nil })
	first := s.newOwner()
	if first.replica.hasCommittedInTerm() {
		t.Fatal("the epoch is open already")
	}
	s.drop = func(m Message) bool { return m.Kind == AppendEntriesResponse && !m.Reject && m.Index > 0 }
	s.read(first)
	s.runFor(testElection / 2)
	if s.checker.reads != 0 {
		t.Error("a read is confirmed before the epoch is open")
	}
	s.drop = nil
	s.runFor(2 * testHeartbeat)
	if s.checker.reads != 1 {
		t.Errorf("%d reads are confirmed", s.checker.reads)
	}
	s.thenHolds(t)
}

// newOwner is a node that leads, whether its epoch is open or not.
func (s *simulation) newOwner() *node {
	for _, n := range s.nodes {
		if n.alive && n.replica.role == leader {
			return n
		}
	}
	return nil
}

func TestReadAtAnOwnerThatIsCutOffFails(t *testing.T) {
	s, first := givenOwner(t, 4, 3, 0)
	s.isolate(first)
	token := s.read(first)
	var got []Outcome
	s.onOutcome = func(n *node, outcome Outcome) { got = append(got, outcome) }
	s.runFor(testElection + 2*testHeartbeat)
	if difference := cmp.Diff([]Outcome{{Token: token}}, got); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
	s.thenHolds(t)
}

func TestReadAfterAFreezeIsNotStale(t *testing.T) {
	s, first := givenOwner(t, 5, 3, 0)
	s.freeze(first)
	s.runFor(3 * testElection)
	if !s.whenDone(time.Second) {
		t.Fatal("the others have no owner")
	}
	s.read(first)
	s.thaw(first)
	s.runFor(testElection)
	if s.checker.reads != 0 {
		t.Error("an owner that was frozen confirms a read")
	}
	s.thenHolds(t)
}

func TestLostHeartbeatOfARoundIsMadeUpFor(t *testing.T) {
	s, first := givenOwner(t, 6, 3, 0)
	s.drop = func(m Message) bool { return m.Kind == AppendEntries }
	s.read(first)
	s.runFor(testHeartbeat / 4)
	s.drop = nil
	s.runFor(2 * testHeartbeat)
	if s.checker.reads != 1 {
		t.Errorf("%d reads are confirmed", s.checker.reads)
	}
}

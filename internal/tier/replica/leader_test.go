package replica

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestLeader_ProposalsBeyondPendingLimit_AreDropped(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	half := defaultLimits.maxPendingBytes/2 - 100
	input := Input{Proposals: []Proposal{command(1, half), command(2, half), command(3, half)}}
	ready := manual.step(input)
	if difference := cmp.Diff([]Outcome{{Token: 3, Dropped: true}}, ready.Outcomes); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
	manual.acknowledge("b", 3)
	if ready = manual.step(Input{Proposals: []Proposal{command(4, half)}}); len(ready.Outcomes) != 0 {
		t.Errorf("a command is dropped although nothing is pending: %+v", ready.Outcomes)
	}
}

func TestCommit_SingleVoter_FollowsItsSync(t *testing.T) {
	manual := newManualLeader(t, "a")
	ready := manual.step(Input{Proposals: []Proposal{command(1, 10)}})
	if len(ready.Entries) != 1 || len(ready.CommittedEntries) != 0 || ready.NextWake != manual.now {
		t.Errorf("first step %+v, want one entry, nothing committed and an immediate wake", ready)
	}
	ready = manual.step(Input{})
	if len(ready.CommittedEntries) != 1 || len(ready.Outcomes) != 1 || ready.NextWake <= manual.now {
		t.Errorf("second step %+v, want the entry committed and a later wake", ready)
	}
}

func TestCommit_OtherVotersSynced_NeedsNoLocalSync(t *testing.T) {
	manual := newManualLeader(t, "a", "b", "c")
	manual.step(Input{Proposals: []Proposal{command(1, 10)}})
	input := Input{
		Proposals: []Proposal{command(2, 10)},
		Messages: []Message{
			{Kind: AppendEntriesResponse, From: "b", To: "a", Term: 1, Index: 2},
			{Kind: AppendEntriesResponse, From: "c", To: "a", Term: 1, Index: 2},
		},
	}
	if ready := manual.step(input); len(ready.CommittedEntries) != 1 || ready.CommittedEntries[0].Index != 2 {
		t.Errorf("committed %+v, want only entry 2", ready.CommittedEntries)
	}
}

func TestCommit_PowerLossEverywhere_KeepsAcknowledgedCommands(t *testing.T) {
	sim, first := newGroupWithLeader(t, 8, 3, 0)
	for range 50 {
		sim.propose(first)
	}
	sim.runUntil(sim.now+time.Second, func() bool { return sim.checker.commands > 0 })
	for _, n := range sim.nodes {
		sim.kill(n)
	}
	sim.startAll()
	if !sim.commitsWithin(time.Second) {
		t.Error("no command is committed after the restart")
	}
	sim.requireSafe(t)
}

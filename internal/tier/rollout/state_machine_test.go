package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// firstIndex is the log index of the first accepted proposal.
const firstIndex = 7

// machineWithProposal returns a state machine that has recorded a service's version and accepted a proposal for another one.
func machineWithProposal(t *testing.T) *rollout.StateMachine {
	t.Helper()
	r := rollout.New()
	r.ApplyObservedVersion(rollout.ObservedVersion{Service: "s", Version: "v1"})
	proposal := rollout.Proposal{Service: "s", Target: "v2", DurationMs: 9000}.WithBounds(rollout.Bounds{Share: 0.1, Slack: 50}, 10)
	if result := r.ApplyProposal(firstIndex, proposal); result != rollout.Accepted {
		t.Fatalf("the first proposal's result is %s, want taken", result)
	}
	return r
}

func TestStateMachine_Duplicate_StartsNoSecondRollout(t *testing.T) {
	for _, end := range []rollout.State{rollout.Finished, rollout.Reverted} {
		// Given a roll-out that has ended,
		r := machineWithProposal(t)
		r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: end})
		// when its proposal is applied again, and then both decisions on the first roll-out,
		result := r.ApplyProposal(8, rollout.Proposal{Service: "s", Target: "v2", DurationMs: 9000, ProposedAtMs: 5})
		r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: rollout.Finished})
		r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: rollout.Reverted})
		// then the roll-out keeps the state in which it ended, also after a snapshot.
		roll, known := rollout.Restore(r.Snapshot()).Rollout("s")
		if result != rollout.Accepted || !known || roll.State != end {
			t.Errorf("the duplicate of a roll-out that was %s got result %s, and the roll-out is now %s", end, result, roll.State)
		}
	}
}

func TestStateMachine_SecondTarget_InProgress(t *testing.T) {
	// Given a roll-out of v2 in service, when v3 is proposed, and then v2 again with another duration,
	r := machineWithProposal(t)
	results := []rollout.Result{r.ApplyProposal(8, rollout.Proposal{Service: "s", Target: "v3"}), r.ApplyProposal(8, rollout.Proposal{Service: "s", Target: "v2", DurationMs: 1})}
	// then both are rejected. After the first roll-out has ended, v3 is accepted with v2 as its baseline.
	if diff := cmp.Diff([]rollout.Result{rollout.AnotherInService, rollout.AnotherInService}, results); diff != "" {
		t.Error(diff)
	}
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: rollout.Finished})
	if result := r.ApplyProposal(9, rollout.Proposal{Service: "s", Target: "v3"}); result != rollout.Accepted {
		t.Errorf("the proposal after the end of the first roll-out got result %s, want taken", result)
	}
	if roll, _ := r.Rollout("s"); roll.Baseline != "v2" {
		t.Errorf("the second roll-out's baseline is %s, want v2", roll.Baseline)
	}
}

const secondIndex = 20 // log index of the proposal of v3

// earlierProposal is the first accepted proposal, to be applied again.
var earlierProposal = rollout.Proposal{Service: "s", Target: "v2", DurationMs: 9000}

// lateDuplicate is earlierProposal from a leader for which the dedup windows of all entries up to expired have ended.
func lateDuplicate(expired uint64) rollout.Proposal {
	duplicate := earlierProposal
	duplicate.DedupExpiredIndex = expired
	return duplicate
}

// changedProposal returns earlierProposal with one field changed.
func changedProposal(change func(*rollout.Proposal)) rollout.Proposal {
	changed := earlierProposal
	change(&changed)
	return changed
}

// proposalOutcome is the result of a proposal with the newest roll-out after it.
type proposalOutcome struct {
	Returned rollout.Result
	Target   string
	State    rollout.State
	Baseline string
}

var lateDuplicateCases = []struct {
	name     string
	first    rollout.State // state in which the roll-out of v2 ends
	second   rollout.State // state of the roll-out of v3 that follows
	proposal rollout.Proposal
	want     proposalOutcome
}{
	{"finished, another in service, within the dedup window", rollout.Finished, rollout.InService, earlierProposal,
		proposalOutcome{rollout.Accepted, "v3", rollout.InService, "v2"}},
	{"finished, another finished, within the dedup window", rollout.Finished, rollout.Finished, earlierProposal,
		proposalOutcome{rollout.Accepted, "v3", rollout.Finished, "v2"}},
	{"reverted, another finished, within the dedup window", rollout.Reverted, rollout.Finished, earlierProposal,
		proposalOutcome{rollout.Accepted, "v3", rollout.Finished, "v1"}},
	{"another duration, within the dedup window: new roll-out", rollout.Finished, rollout.Finished, changedProposal(func(p *rollout.Proposal) { p.DurationMs = 8000 }),
		proposalOutcome{rollout.Accepted, "v2", rollout.InService, "v3"}},
	{"another service, within the dedup window: new roll-out", rollout.Finished, rollout.Finished, changedProposal(func(p *rollout.Proposal) { p.Service = "other" }),
		proposalOutcome{rollout.Accepted, "v3", rollout.Finished, "v2"}},
	{"finished, another in service, after the dedup window", rollout.Finished, rollout.InService, lateDuplicate(firstIndex),
		proposalOutcome{rollout.AnotherInService, "v3", rollout.InService, "v2"}},
	{"finished, another finished, after the dedup window: new roll-out", rollout.Finished, rollout.Finished, lateDuplicate(firstIndex),
		proposalOutcome{rollout.Accepted, "v2", rollout.InService, "v3"}},
	{"reverted, another finished, after the dedup window: new roll-out", rollout.Reverted, rollout.Finished, lateDuplicate(secondIndex),
		proposalOutcome{rollout.Accepted, "v2", rollout.InService, "v3"}},
	{"finished, another reverted, after the dedup window: the target is current", rollout.Finished, rollout.Reverted, lateDuplicate(secondIndex),
		proposalOutcome{rollout.Accepted, "v2", rollout.Finished, "v2"}},
}

// TestStateMachine_LateDuplicates_Acknowledged applies a proposal like the first one again after another roll-out has begun.
func TestStateMachine_LateDuplicates_Acknowledged(t *testing.T) {
	for _, test := range lateDuplicateCases {
		for _, snapshot := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", after a snapshot: ", snapshot), func(t *testing.T) {
				// Given a roll-out of v2 that has ended, and one of v3 after it,
				r := machineWithProposal(t)
				r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: test.first})
				if result := r.ApplyProposal(secondIndex, rollout.Proposal{Service: "s", Target: "v3", DurationMs: 9000}); result != rollout.Accepted {
					t.Fatalf("the second proposal's result is %s, want taken", result)
				}
				if test.second != rollout.InService {
					r.ApplyDecision(rollout.Decision{Service: "s", Target: "v3", ProposalIndex: secondIndex, State: test.second})
				}
				if snapshot {
					r = restored(t, r)
				}
				// when a proposal like the first is applied,
				result := r.ApplyProposal(secondIndex+1, test.proposal)
				// then it is a duplicate of the first, or a new proposal, depending on its fields and on the dedup window.
				roll, _ := r.Rollout("s")
				if diff := cmp.Diff(test.want, proposalOutcome{result, roll.Target, roll.State, roll.Baseline}); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestStateMachine_RevertedTarget_MayBeProposedAgain(t *testing.T) {
	// Given a roll-out that was reverted,
	r := machineWithProposal(t)
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: rollout.Reverted})
	// when the same is proposed after the dedup window, and a late decision on the first roll-out is applied,
	result := r.ApplyProposal(12, rollout.Proposal{Service: "s", Target: "v2", DurationMs: 9000, DedupExpiredIndex: firstIndex})
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: rollout.Reverted})
	// then the proposal begins a new roll-out, on which that decision has no effect.
	roll, _ := r.Rollout("s")
	if result != rollout.Accepted || roll.State != rollout.InService || roll.Index != 12 {
		t.Errorf("the proposal got result %s, and the newest roll-out is %s with index %d; want taken, in_service and 12", result, roll.State, roll.Index)
	}
	// And a duplicate of the second proposal is accepted and begins no roll-out.
	if result := r.ApplyProposal(13, rollout.Proposal{Service: "s", Target: "v2", DurationMs: 9000, DedupExpiredIndex: 12}); result != rollout.Accepted {
		t.Errorf("the duplicate of the second proposal got result %s, want taken", result)
	}
	if roll, _ := r.Rollout("s"); roll.Index != 12 {
		t.Errorf("after the duplicate, the newest roll-out has index %d, want 12", roll.Index)
	}
}

// restored returns a state machine that was restored from the JSON of another one's snapshot.
func restored(t rapid.TB, r *rollout.StateMachine) *rollout.StateMachine {
	encoded, err := json.Marshal(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var snapshot rollout.Snapshot
	if err := json.Unmarshal(encoded, &snapshot); err != nil {
		t.Fatal(err)
	}
	return rollout.Restore(snapshot)
}

// acceptedProposal is a proposal that the reference has accepted, with the state of its roll-out.
type acceptedProposal struct {
	index    uint64
	proposal rollout.Proposal
	state    rollout.State
}

// reference is a simple model of StateMachine that keeps all accepted proposals of one service.
type reference struct {
	history     []acceptedProposal
	expiredUpTo uint64 // log index up to which dedup windows have ended
	current     string
}

func (m *reference) newest() *acceptedProposal {
	if len(m.history) == 0 {
		return &acceptedProposal{state: rollout.Finished}
	}
	return &m.history[len(m.history)-1]
}

func (m *reference) applyProposal(index uint64, p rollout.Proposal) rollout.Result {
	m.expiredUpTo = max(m.expiredUpTo, p.DedupExpiredIndex)
	for i := range m.history {
		accepted := &m.history[i]
		isSame := accepted.proposal.Target == p.Target && accepted.proposal.DurationMs == p.DurationMs
		if isSame && (accepted.index > m.expiredUpTo || accepted.state == rollout.InService) {
			return rollout.Accepted
		}
	}
	if m.newest().state == rollout.InService {
		return rollout.AnotherInService
	}
	state := rollout.InService
	if p.Target == m.current {
		state = rollout.Finished
	}
	m.history = append(m.history, acceptedProposal{index: index, proposal: p, state: state})
	return rollout.Accepted
}

func (m *reference) applyDecision(d rollout.Decision) {
	if newest := m.newest(); newest.state == rollout.InService && newest.index == d.ProposalIndex {
		newest.state = d.State
		if d.State == rollout.Finished {
			m.current = newest.proposal.Target
		}
	}
}

// TestStateMachine_RandomProposals_AgreesWithReference applies random proposals and decisions, duplicates among them, with snapshots in
// between, and compares the state machine with the reference after each step.
func TestStateMachine_RandomProposals_AgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, want := rollout.New(), &reference{current: "v1"}
		r.ApplyObservedVersion(rollout.ObservedVersion{Service: "s", Version: "v1"})
		for index := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			index++
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1, 2:
				p := rollout.Proposal{Service: "s", Target: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "target"),
					DurationMs: rapid.Int64Range(1, 2).Draw(t, "duration"), DedupExpiredIndex: rapid.Uint64Range(0, index-1).Draw(t, "dedup expired")}
				if got, expected := r.ApplyProposal(index, p), want.applyProposal(index, p); got != expected {
					t.Fatalf("proposal %+v got result %s, want %s", p, got, expected)
				}
			case 3:
				d := rollout.Decision{Service: "s", ProposalIndex: rapid.Uint64Range(want.newest().index, index).Draw(t, "proposal"),
					State: rapid.SampledFrom([]rollout.State{rollout.Finished, rollout.Reverted}).Draw(t, "state")}
				r.ApplyDecision(d)
				want.applyDecision(d)
			case 4:
				r = restored(t, r)
			}
			roll, _ := r.Rollout("s")
			if newest := want.newest(); roll.Index != newest.index || newest.index > 0 && roll.State != newest.state || r.Current("s") != want.current {
				t.Fatalf("roll-out %d is %s and %s is the current version, want %d, %s, %s", roll.Index, roll.State, r.Current("s"), newest.index, newest.state, want.current)
			}
		}
	})
}

func TestStateMachine_Versions_CarryTargetShare(t *testing.T) {
	versions := func(r *rollout.StateMachine) []view.ServiceVersions { return r.Versions().Services }
	// Given a roll-out in service, then the target's share and initial allowance are parts of the bounds;
	r := machineWithProposal(t)
	want := []view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", Order: firstIndex, TrafficShare: 0.08, InitialAllowance: 3.5}}
	if diff := cmp.Diff(want, versions(r), cmpopts.EquateApprox(1e-9, 0)); diff != "" {
		t.Error(diff)
	}
	// when the roll-out ends, then the service has one version.
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", ProposalIndex: firstIndex, State: rollout.Finished})
	if diff := cmp.Diff([]view.ServiceVersions{{Service: "s", Current: "v2"}}, versions(r)); diff != "" {
		t.Error(diff)
	}
}

func TestProposal_WithoutBounds_GetsDefaultShare(t *testing.T) {
	// Given a proposal without bounds, then its target gets a small share and no initial allowance.
	proposal := rollout.Proposal{}.WithBounds(rollout.Bounds{}, 0)
	if proposal.TrafficShare <= 0 || proposal.TrafficShare > 0.1 || proposal.InitialAllowance != 0 {
		t.Errorf("the proposal is %+v, want a share above 0 and up to 0.1 and no allowance", proposal)
	}
}

func TestProposal_FewKnownProxies_KeepsBounds(t *testing.T) {
	// Given a leader that has just started and knows none of 9 proxies, then their initial allowances together are within the slack.
	proposal := rollout.Proposal{}.WithBounds(rollout.Bounds{Share: 0.1, Slack: 50}, 0)
	if sum := 9 * proposal.InitialAllowance; sum > 50 {
		t.Errorf("9 proxies have an initial allowance of %v requests together, want at most 50", sum)
	}
}

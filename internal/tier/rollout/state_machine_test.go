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

// firstIndex is the index of the order that state machine takes.
const firstIndex = 7

// state machine is one that has seen a service's version and taken an order for another one.
func machineWithProposal(t *testing.T) *rollout.StateMachine {
	t.Helper()
	r := rollout.New()
	r.ApplyObservedVersion(rollout.ObservedVersion{Service: "s", Version: "v1"})
	order := rollout.Proposal{Service: "s", Target: "v2", OverMs: 9000}.WithBounds(rollout.Bounds{Share: 0.1, Slack: 50}, 10)
	if result := r.ApplyProposal(firstIndex, order); result != rollout.Accepted {
		t.Fatalf("the order is %s", result)
	}
	return r
}

func TestStateMachine_Duplicate_StartsNoSecondRollout(t *testing.T) {
	for _, end := range []rollout.State{rollout.Finished, rollout.Reverted} {
		// Given an order that has ended,
		r := machineWithProposal(t)
		r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: end})
		// when it comes again, and when it is decided on again in another way,
		result := r.ApplyProposal(8, rollout.Proposal{Service: "s", Target: "v2", OverMs: 9000, AtMs: 5})
		r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: rollout.Finished})
		r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: rollout.Reverted})
		// then it stays as it ended, also after a snapshot.
		roll, known := rollout.Restore(r.Snapshot()).Rollout("s")
		if result != rollout.Accepted || !known || roll.State != end {
			t.Errorf("the order that was %s is answered by %s, and is %s", end, result, roll.State)
		}
	}
}

func TestStateMachine_SecondTarget_InProgress(t *testing.T) {
	// Given an order that is in progress, when one for a third version comes, and one for the same in another time,
	r := machineWithProposal(t)
	results := []rollout.Result{r.ApplyProposal(8, rollout.Proposal{Service: "s", Target: "v3"}), r.ApplyProposal(8, rollout.Proposal{Service: "s", Target: "v2", OverMs: 1})}
	// then they have to wait for the end of the first, and go on from there.
	if diff := cmp.Diff([]rollout.Result{rollout.InProgress, rollout.InProgress}, results); diff != "" {
		t.Error(diff)
	}
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: rollout.Finished})
	if result := r.ApplyProposal(9, rollout.Proposal{Service: "s", Target: "v3"}); result != rollout.Accepted {
		t.Errorf("after the end it is answered by %s", result)
	}
	if roll, _ := r.Rollout("s"); roll.Baseline != "v2" {
		t.Errorf("it goes on from %s", roll.Baseline)
	}
}

const secondIndex = 20 // index of the order for v3

// earlierProposal is the order that comes again.
var earlierProposal = rollout.Proposal{Service: "s", Target: "v2", OverMs: 9000}

// lateDuplicate is the same from a controller at which the dedup window of the entries up to expired has ended.
func lateDuplicate(expired uint64) rollout.Proposal {
	duplicate := earlierProposal
	duplicate.DedupExpiredIndex = expired
	return duplicate
}

// changedProposal is another order, which differs from the earlier one in one field.
func changedProposal(change func(*rollout.Proposal)) rollout.Proposal {
	changed := earlierProposal
	change(&changed)
	return changed
}

// proposalOutcome is the answer to a proposal, and the roll-out that is the newest after it.
type proposalOutcome struct {
	Verdict rollout.Result
	Target  string
	State   rollout.State
	From    string
}

var lateDuplicateCases = []struct {
	name   string
	first  rollout.State // how the order for v2 ends
	second rollout.State // how the order for v3 after it ends
	order  rollout.Proposal
	want   proposalOutcome
}{
	{"finished, another in progress, within its window", rollout.Finished, rollout.InService, earlierProposal,
		proposalOutcome{rollout.Accepted, "v3", rollout.InService, "v2"}},
	{"finished, another finished, within its window", rollout.Finished, rollout.Finished, earlierProposal,
		proposalOutcome{rollout.Accepted, "v3", rollout.Finished, "v2"}},
	{"reverted, another finished, within its window", rollout.Reverted, rollout.Finished, earlierProposal,
		proposalOutcome{rollout.Accepted, "v3", rollout.Finished, "v1"}},
	{"another time, within its window: another order", rollout.Finished, rollout.Finished, changedProposal(func(p *rollout.Proposal) { p.OverMs = 8000 }),
		proposalOutcome{rollout.Accepted, "v2", rollout.InService, "v3"}},
	{"another service, within its window: another order", rollout.Finished, rollout.Finished, changedProposal(func(p *rollout.Proposal) { p.Service = "other" }),
		proposalOutcome{rollout.Accepted, "v3", rollout.Finished, "v2"}},
	{"finished, another in progress, after its window", rollout.Finished, rollout.InService, lateDuplicate(firstIndex),
		proposalOutcome{rollout.InProgress, "v3", rollout.InService, "v2"}},
	{"finished, another finished, after its window: back", rollout.Finished, rollout.Finished, lateDuplicate(firstIndex),
		proposalOutcome{rollout.Accepted, "v2", rollout.InService, "v3"}},
	{"reverted, another finished, after its window: another attempt", rollout.Reverted, rollout.Finished, lateDuplicate(secondIndex),
		proposalOutcome{rollout.Accepted, "v2", rollout.InService, "v3"}},
	{"finished, another reverted, after its window: it is in service", rollout.Finished, rollout.Reverted, lateDuplicate(secondIndex),
		proposalOutcome{rollout.Accepted, "v2", rollout.Finished, "v2"}},
}

// TestStateMachine_LateDuplicates_Acknowledged has an order come again after others.
func TestStateMachine_LateDuplicates_Acknowledged(t *testing.T) {
	for _, test := range lateDuplicateCases {
		for _, snapshot := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", after a snapshot: ", snapshot), func(t *testing.T) {
				// Given an order for v2 that has ended, and one for v3 after it,
				r := machineWithProposal(t)
				r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: test.first})
				if result := r.ApplyProposal(secondIndex, rollout.Proposal{Service: "s", Target: "v3", OverMs: 9000}); result != rollout.Accepted {
					t.Fatalf("the second order is %s", result)
				}
				if test.second != rollout.InService {
					r.ApplyDecision(rollout.Decision{Service: "s", Target: "v3", Order: secondIndex, State: test.second})
				}
				if snapshot {
					r = restored(t, r)
				}
				// when an order like the first comes,
				result := r.ApplyProposal(secondIndex+1, test.order)
				// then it is a duplicate of the first, or a new one, by what it says and when it comes.
				roll, _ := r.Rollout("s")
				if diff := cmp.Diff(test.want, proposalOutcome{result, roll.Target, roll.State, roll.Baseline}); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			})
		}
	}
}

func TestStateMachine_RevertedTarget_MayBeProposedAgain(t *testing.T) {
	// Given an order that was reverted,
	r := machineWithProposal(t)
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: rollout.Reverted})
	// when it comes after its window, and a late decision on the first attempt,
	result := r.ApplyProposal(12, rollout.Proposal{Service: "s", Target: "v2", OverMs: 9000, DedupExpiredIndex: firstIndex})
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: rollout.Reverted})
	// then it is a new attempt, on which the late one has no effect.
	roll, _ := r.Rollout("s")
	if result != rollout.Accepted || roll.State != rollout.InService || roll.Index != 12 {
		t.Errorf("the order is answered by %s, and is %s, of entry %d", result, roll.State, roll.Index)
	}
	// And its duplicate is that order's.
	if result := r.ApplyProposal(13, rollout.Proposal{Service: "s", Target: "v2", OverMs: 9000, DedupExpiredIndex: 12}); result != rollout.Accepted {
		t.Errorf("its duplicate is answered by %s", result)
	}
	if roll, _ := r.Rollout("s"); roll.Index != 12 {
		t.Errorf("its duplicate began roll-out %d", roll.Index)
	}
}

// restored is the state machine after its snapshot has been written and read.
func restored(t rapid.TB, r *rollout.StateMachine) *rollout.StateMachine {
	raw, err := json.Marshal(r.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	var saved rollout.Snapshot
	if err := json.Unmarshal(raw, &saved); err != nil {
		t.Fatal(err)
	}
	return rollout.Restore(saved)
}

// taken is an order that was accepted, as the reference keeps it: all of them, for ever.
type acceptedProposal struct {
	index uint64
	order rollout.Proposal
	state rollout.State
}

// reference judges orders by the whole history.
type reference struct {
	history     []acceptedProposal // of one service
	expiredUpTo uint64
	current     string
}

func (m *reference) newest() *acceptedProposal {
	if len(m.history) == 0 {
		return &acceptedProposal{state: rollout.Finished}
	}
	return &m.history[len(m.history)-1]
}

func (m *reference) applyProposal(index uint64, o rollout.Proposal) rollout.Result {
	m.expiredUpTo = max(m.expiredUpTo, o.DedupExpiredIndex)
	for i := range m.history {
		t := &m.history[i]
		isSame := t.order.Target == o.Target && t.order.OverMs == o.OverMs
		if isSame && (t.index > m.expiredUpTo || t.state == rollout.InService) {
			return rollout.Accepted
		}
	}
	if m.newest().state == rollout.InService {
		return rollout.InProgress
	}
	state := rollout.InService
	if o.Target == m.current {
		state = rollout.Finished
	}
	m.history = append(m.history, acceptedProposal{index: index, order: o, state: state})
	return rollout.Accepted
}

func (m *reference) applyDecision(d rollout.Decision) {
	if newest := m.newest(); newest.state == rollout.InService && newest.index == d.Order {
		newest.state = d.State
		if d.State == rollout.Finished {
			m.current = newest.order.Target
		}
	}
}

// TestStateMachine_RandomProposals_AgreesWithReference applies any orders and decisions, duplicates among them, with snapshots in between.
func TestStateMachine_RandomProposals_AgreesWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, want := rollout.New(), &reference{current: "v1"}
		r.ApplyObservedVersion(rollout.ObservedVersion{Service: "s", Version: "v1"})
		for index := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			index++
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0, 1, 2:
				o := rollout.Proposal{Service: "s", Target: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "target"),
					OverMs: rapid.Int64Range(1, 2).Draw(t, "over"), DedupExpiredIndex: rapid.Uint64Range(0, index-1).Draw(t, "settled")}
				if got, expected := r.ApplyProposal(index, o), want.applyProposal(index, o); got != expected {
					t.Fatalf("order %+v was %s, want %s", o, got, expected)
				}
			case 3:
				d := rollout.Decision{Service: "s", Order: rapid.Uint64Range(want.newest().index, index).Draw(t, "order"),
					State: rapid.SampledFrom([]rollout.State{rollout.Finished, rollout.Reverted}).Draw(t, "end")}
				r.ApplyDecision(d)
				want.applyDecision(d)
			case 4:
				r = restored(t, r)
			}
			roll, _ := r.Rollout("s")
			if newest := want.newest(); roll.Index != newest.index || newest.index > 0 && roll.State != newest.state || r.Current("s") != want.current {
				t.Fatalf("roll-out %d is %s and %s in service, want %d, %s, %s", roll.Index, roll.State, r.Current("s"), newest.index, newest.state, want.current)
			}
		}
	})
}

func TestStateMachine_Versions_CarryTargetShare(t *testing.T) {
	versions := func(r *rollout.StateMachine) []view.ServiceVersions { return r.Versions().Services }
	// Given an order in progress, then the target may get a part of the bounds, split among the proxies;
	r := machineWithProposal(t)
	want := []view.ServiceVersions{{Service: "s", Current: "v1", Target: "v2", Order: firstIndex, TrafficShare: 0.08, InitialAllowance: 3.5}}
	if diff := cmp.Diff(want, versions(r), cmpopts.EquateApprox(1e-9, 0)); diff != "" {
		t.Error(diff)
	}
	// when the order ends, then there is one version.
	r.ApplyDecision(rollout.Decision{Service: "s", Target: "v2", Order: firstIndex, State: rollout.Finished})
	if diff := cmp.Diff([]view.ServiceVersions{{Service: "s", Current: "v2"}}, versions(r)); diff != "" {
		t.Error(diff)
	}
}

func TestProposal_WithoutBounds_GetsDefaultShare(t *testing.T) {
	// Given an order where the settings tell no bounds, then its target gets a small share.
	order := rollout.Proposal{}.WithBounds(rollout.Bounds{}, 0)
	if order.TrafficShare <= 0 || order.TrafficShare > 0.1 || order.InitialAllowance != 0 {
		t.Errorf("it is %+v", order)
	}
}

func TestProposal_FewKnownProxies_KeepsBounds(t *testing.T) {
	// Given an leader that has started just now and knows none of 9 proxies, then what they may send at first is within the slack.
	order := rollout.Proposal{}.WithBounds(rollout.Bounds{Share: 0.1, Slack: 50}, 0)
	if sum := 9 * order.InitialAllowance; sum > 50 {
		t.Errorf("they may send %v", sum)
	}
}

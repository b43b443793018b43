package decommission_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/decommission"
)

// runningStores returns machines a, b, ... with the identities a-1, b-1, ...
func runningStores(nodes ...string) []decommission.Store {
	var machines []decommission.Store
	for _, node := range nodes {
		machines = append(machines, decommission.Store{Node: node, ID: node + "-1"})
	}
	return machines
}

func proposal(node string, nodes ...string) decommission.Proposal {
	return decommission.Proposal{Store: decommission.Store{Node: node, ID: node + "-1"}, RunningStores: runningStores(nodes...), MinRemaining: 3}
}

func finished(node string) decommission.Decision {
	return decommission.Decision{Node: node, IDs: []string{node + "-1"}}
}

func TestStateMachine_Proposal_KeepsMinimumOfStores(t *testing.T) {
	tests := []struct {
		name    string
		given   func(machine *decommission.StateMachine)
		applied decommission.Proposal
		want    decommission.Result
	}{
		{"three remain", nil, proposal("a", "a", "b", "c", "d"), decommission.Accepted},
		{"two remain", nil, proposal("a", "a", "b", "c"), decommission.TooFewStores},
		{"the machine is down and three remain", nil, proposal("a", "b", "c", "d"), decommission.Accepted},
		{"the machine is down and two remain", nil, proposal("a", "b", "c"), decommission.TooFewStores},
		{"another machine is being drained", func(machine *decommission.StateMachine) { machine.ApplyProposal(1, proposal("b", "a", "b", "c", "d")) },
			proposal("a", "a", "b", "c", "d"), decommission.TooFewStores},
		{"another machine was drained and still runs", func(machine *decommission.StateMachine) {
			machine.ApplyProposal(1, proposal("b", "a", "b", "c", "d"))
			machine.ApplyDecision(finished("b"))
		},
			proposal("a", "a", "b", "c", "d"), decommission.TooFewStores},
		{"two are drained at once and three remain", func(machine *decommission.StateMachine) {
			machine.ApplyProposal(1, proposal("b", "a", "b", "c", "d", "e"))
		},
			proposal("a", "a", "b", "c", "d", "e"), decommission.Accepted},
		{"a duplicate, though now too few would remain", func(machine *decommission.StateMachine) { machine.ApplyProposal(1, proposal("a", "a", "b", "c", "d")) },
			proposal("a", "a", "b"), decommission.Accepted},
		{"a duplicate after the end of the operation", func(machine *decommission.StateMachine) {
			machine.ApplyProposal(1, proposal("a", "a", "b", "c", "d"))
			machine.ApplyDecision(finished("a"))
		},
			proposal("a", "b", "c"), decommission.Accepted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := decommission.New()
			if test.given != nil {
				test.given(r)
			}
			if got := r.ApplyProposal(1, test.applied); got != test.want {
				t.Errorf("result %s, want %s", got, test.want)
			}
		})
	}
}

func TestStateMachine_RetiredIdentities_StayExcluded(t *testing.T) {
	// Given a machine that was drained, and whose disk was replaced meanwhile.
	r := decommission.New()
	r.ApplyProposal(1, proposal("a", "a", "b", "c", "d"))
	if !r.Excludes(decommission.Store{Node: "a", ID: "a-2"}) {
		t.Error("a machine that is being drained may get replicas under a new identity")
	}
	r.ApplyDecision(decommission.Decision{Node: "a", IDs: []string{"a-2"}})

	// Then neither identity may get replicas again, on whichever machine, but a third one may.
	for id, want := range map[string]bool{"a-1": true, "a-2": true, "a-3": false} {
		if got := r.Excludes(decommission.Store{Node: "a", ID: id}); got != want {
			t.Errorf("identity %s is excluded: %v, want %v", id, got, want)
		}
	}

	// And the machine can be drained again under the third identity.
	repeated := proposal("a", "a", "b", "c", "d")
	repeated.ID, repeated.AtMs = "a-3", 70
	if got := r.ApplyProposal(9, repeated); got != decommission.Accepted {
		t.Fatalf("the result for the new identity is %s", got)
	}
	want := decommission.Operation{Node: "a", IDs: []string{"a-1", "a-2", "a-3"}, State: decommission.InService, Index: 9, AtMs: 70}
	got, _ := r.Operation("a")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("operation (-want +got):\n%s", diff)
	}
}

// TestStateMachine_Duplicates_NeverRejected applies a duplicate after the machine has returned with another disk, when too few
// machines would remain without it.
func TestStateMachine_Duplicates_NeverRejected(t *testing.T) {
	const index = 7
	tests := []struct {
		name   string
		change func(proposal *decommission.Proposal)
		want   decommission.Result
		state  decommission.State
	}{
		{"the same machine", func(*decommission.Proposal) {}, decommission.Accepted, decommission.Finished},
		{"the same machine, after the dedup window", func(p *decommission.Proposal) { p.DedupExpiredIndex = index }, decommission.Accepted, decommission.Finished},
		{"a machine that is down", func(p *decommission.Proposal) { p.ID, p.DedupExpiredIndex = "", index }, decommission.Accepted, decommission.Finished},
		{"another disk, and enough remain", func(p *decommission.Proposal) { p.ID, p.RunningStores = "a-2", runningStores("b", "c", "d") }, decommission.Accepted, decommission.InService},
		{"another disk, and too few remain", func(p *decommission.Proposal) { p.ID = "a-2" }, decommission.Accepted, decommission.Finished},
		{"another disk, and too few remain, after the dedup window", func(p *decommission.Proposal) { p.ID, p.DedupExpiredIndex = "a-2", index }, decommission.TooFewStores, decommission.Finished},
		{"another machine, and too few remain", func(p *decommission.Proposal) { p.Store = decommission.Store{Node: "b", ID: "b-1"} }, decommission.TooFewStores, ""},
	}
	for _, test := range tests {
		for _, snapshot := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", after a snapshot: ", snapshot), func(t *testing.T) {
				// Given a machine that was drained, and two other machines that run.
				r := decommission.New()
				r.ApplyProposal(index, proposal("a", "a", "b", "c", "d"))
				r.ApplyDecision(finished("a"))
				if snapshot {
					r = decommission.Restore(r.Snapshot())
				}
				// When a proposal is committed.
				proposed := proposal("a", "b", "c")
				test.change(&proposed)
				got := r.ApplyProposal(index+5, proposed)
				// Then a duplicate is acknowledged.
				known, _ := r.Operation(proposed.Node)
				if got != test.want || known.State != test.state {
					t.Errorf("result %s and state %q, want %s and %q", got, known.State, test.want, test.state)
				}
			})
		}
	}
}

func TestStateMachine_RepeatedDecision_ChangesNothing(t *testing.T) {
	r := decommission.New()
	r.ApplyDecision(finished("a"))
	if _, exists := r.Operation("a"); exists {
		t.Error("a decision without a proposal created an operation")
	}
	r.ApplyProposal(1, proposal("a", "a", "b", "c", "d"))
	r.ApplyDecision(finished("a"))
	r.ApplyDecision(decommission.Decision{Node: "a", IDs: []string{"late"}})
	if r.Excludes(decommission.Store{Node: "z", ID: "late"}) {
		t.Error("a second decision changed a finished operation")
	}
}

// TestStateMachine_RandomProposals_KeepsInvariants applies random proposals and decisions: identities of finished operations stay
// excluded, too few machines never remain, and a snapshot at any point changes nothing.
func TestStateMachine_RandomProposals_KeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stateMachine := decommission.New()
		finished := map[string]bool{} // identities
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			machine := decommission.Store{Node: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "node")}
			machine.ID = fmt.Sprint(machine.Node, "-", rapid.IntRange(1, 2).Draw(t, "identity"))
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				proposed := decommission.Proposal{Store: machine, MinRemaining: 3,
					RunningStores: rapid.Permutation(runningStores("a", "b", "c", "d", "e")).Draw(t, "running")[:rapid.IntRange(0, 5).Draw(t, "count")]}
				before := stateMachine.Snapshot()
				result := stateMachine.ApplyProposal(1, proposed)
				if result == decommission.TooFewStores && !cmp.Equal(before, stateMachine.Snapshot()) {
					t.Fatal("a rejected proposal changed the state")
				}
				if result == decommission.Accepted && !cmp.Equal(before, stateMachine.Snapshot()) && remaining(stateMachine, proposed.RunningStores) < 3 {
					t.Fatal("an accepted proposal left too few machines")
				}
			case 1:
				active := stateMachine.Active()
				if len(active) > 0 {
					stateMachine.ApplyDecision(decommission.Decision{Node: active[0].Node, IDs: active[0].IDs})
					for _, id := range active[0].IDs {
						finished[id] = true
					}
				}
			case 2:
				stateMachine = decommission.Restore(stateMachine.Snapshot())
			}
			for id := range finished {
				if !stateMachine.Excludes(decommission.Store{Node: "other", ID: id}) {
					t.Fatalf("decommissioned identity %s may get replicas", id)
				}
			}
		}
	})
}

func remaining(r *decommission.StateMachine, machines []decommission.Store) int {
	count := 0
	for _, m := range machines {
		if !r.Excludes(m) {
			count++
		}
	}
	return count
}

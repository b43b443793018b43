package configuration_test

import (
	"slices"
	"testing"

	"mastusher/internal/tier/configuration"
)

// deliveryExplorer explores every sequence in which copies of some proposals can be committed: each copy at any position or never,
// with a snapshot and a restore before each.
type deliveryExplorer struct {
	t          *testing.T
	proposals  []*configuration.Proposal
	copiesLeft []int // number of copies of each proposal that may still be committed
	results    []copyResult
	states     int
	paths      int
}

// copyResult is the result of applying one copy of a proposal.
type copyResult struct {
	proposal int
	result   configuration.Result
}

func (d *deliveryExplorer) explore(state configuration.Snapshot, index uint64) {
	d.paths++
	for number := range d.proposals {
		if d.copiesLeft[number] == 0 {
			continue
		}
		d.copiesLeft[number]--
		machine, err := configuration.Restore(state)
		if err != nil {
			d.t.Fatal(err)
		}
		d.results = append(d.results, copyResult{number, machine.Apply(index, d.proposals[number])})
		d.check(machine)
		d.states++
		d.explore(machine.Snapshot(), index+1)
		d.results = d.results[:len(d.results)-1]
		d.copiesLeft[number]++
	}
}

// check fails the test if the results so far break an invariant: all copies of a proposal get the same decision, at most one proposal
// is accepted per base and per number, and WasAccepted agrees with the results.
func (d *deliveryExplorer) check(machine *configuration.StateMachine) {
	last := d.results[len(d.results)-1]
	acceptedByBase, acceptedByNumber := map[uint64]int{}, map[uint64]int{}
	for _, r := range d.results {
		if r.proposal == last.proposal && r.result == configuration.Accepted != (last.result == configuration.Accepted) {
			d.t.Fatalf("some copies of a proposal were accepted and others not: %v", d.results)
		}
		if r.result != configuration.Accepted {
			continue
		}
		proposal := d.proposals[r.proposal]
		for key, by := range map[uint64]map[uint64]int{proposal.Base: acceptedByBase, proposal.Number: acceptedByNumber} {
			if other, known := by[key]; known && other != r.proposal {
				d.t.Fatalf("two proposals with the same base or number were accepted: %v", d.results)
			}
			by[key] = r.proposal
		}
	}
	isAccepted := slices.Contains(d.results, copyResult{last.proposal, configuration.Accepted})
	if isAccepted != machine.WasAccepted(d.proposals[last.proposal]) {
		d.t.Fatalf("WasAccepted disagrees with the results: %v", d.results)
	}
}

// TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion commits two different proposals with the same base and number, two on top of
// them, and the content of one of these on another base. Each copy is committed at any time, also before its base version exists.
func TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion(t *testing.T) {
	d := &deliveryExplorer{t: t, copiesLeft: []int{2, 2, 2, 2, 1}, proposals: []*configuration.Proposal{
		proposal(0, 3, "first"), proposal(0, 3, "other"), proposal(3, 5, "next"), proposal(3, 5, "rival"), proposal(0, 5, "next")}}
	d.explore(configuration.New().Snapshot(), 1)
	t.Logf("%d sequences, %d results", d.paths, d.states)
}

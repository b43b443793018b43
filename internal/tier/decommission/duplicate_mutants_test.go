package decommission_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestDuplicateMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "a duplicate is rejected when too few would remain",
			Change: mutation.Change{
				File: "state_machine.go",
				Old:  "exists && operation.Index > proposal.DedupExpiredIndex",
				New:  "exists && operation.Index > proposal.DedupExpiredIndex && proposal.ID == operation.Node",
			},
			Run: "^TestStateMachine_Duplicates_NeverRejected$",
		},
		{
			Name: "a proposal is acknowledged whenever the machine was drained before",
			Change: mutation.Change{
				File: "state_machine.go",
				Old:  "exists && operation.Index > proposal.DedupExpiredIndex",
				New:  "exists",
			},
			Run: "^TestStateMachine_Duplicates_NeverRejected$",
		},
		{
			Name: "a finished operation starts again",
			Change: mutation.Change{
				File: "state_machine.go",
				Old:  `operation.State == InService || proposal.ID == "" || operation.has(proposal.ID)`,
				New:  `operation.State == InService || proposal.ID == ""`,
			},
			Run: "^TestStateMachine_Proposal_KeepsMinimumOfStores|^TestStateMachine_Duplicates_NeverRejected",
		},
		{
			Name: "another disk counts as the same machine",
			Change: mutation.Change{
				File: "state_machine.go",
				Old:  `operation.State == InService || proposal.ID == "" || operation.has(proposal.ID)`,
				New:  "true",
			},
			Run: "^TestStateMachine_RetiredIdentities_StayExcluded",
		},
	})
}

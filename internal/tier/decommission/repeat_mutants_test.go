package decommission_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestDuplicateMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "a repeat is refused when too few would remain",
			Change: mutation.Change{
				File: "register.go",
				Old:  "asked && known.Index > order.DedupExpiredIndex",
				New:  "asked && known.Index > order.DedupExpiredIndex && order.ID == known.Node",
			},
			Run: "^TestStateMachine_Duplicates_NeverRejected$",
		},
		{
			Name: "an order is acknowledged whenever the machine was emptied before",
			Change: mutation.Change{
				File: "register.go",
				Old:  "asked && known.Index > order.DedupExpiredIndex",
				New:  "asked",
			},
			Run: "^TestStateMachine_Duplicates_NeverRejected$",
		},
		{
			Name: "what has ended is asked for anew",
			Change: mutation.Change{
				File: "register.go",
				Old:  `known.State == InService || order.ID == "" || known.has(order.ID)`,
				New:  `known.State == InService || order.ID == ""`,
			},
			Run: "^TestStateMachine_Proposal_KeepsMinimumOfStores|^TestStateMachine_Duplicates_NeverRejected",
		},
		{
			Name: "another disk counts as the same machine",
			Change: mutation.Change{
				File: "register.go",
				Old:  `known.State == InService || order.ID == "" || known.has(order.ID)`,
				New:  "true",
			},
			Run: "^TestStateMachine_RetiredIdentities_StayExcluded",
		},
	})
}

package rollout_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "only the newest order is remembered",
			Change: mutation.Change{
				File: "register.go",
				Old:  "isUnderWay && roll.isDuplicate(&order) || r.isRecentDuplicate(&order)",
				New:  "known && roll.isDuplicate(&order)",
			},
			Run:    "^TestStateMachine_LateDuplicates_Acknowledged$",
			Always: true,
		},
		{
			Name: "what has ended is never a repeat",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\tr.expireRecent(order.DedupExpiredIndex)\n",
				New:  "\tr.expireRecent(index)\n",
			},
			Run: "^TestStateMachine_Duplicate_StartsNoSecondRollout",
		},
		{
			Name: "repeats have no end",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\tr.expireRecent(order.DedupExpiredIndex)\n",
				New:  "",
			},
			Run: "^TestStateMachine_LateDuplicates_Acknowledged$",
		},
		{
			Name: "a snapshot loses the recent orders",
			Change: mutation.Change{
				File: "register.go",
				Old:  "\tr.recent = slices.Clone(saved.Recent)\n",
				New:  "",
			},
			Run: "^TestStateMachine_LateDuplicates_Acknowledged$",
		},
		{
			Name: "the target alone names an order",
			Change: mutation.Change{
				File: "register.go",
				Old:  "taken.Service == order.Service && taken.Target == order.Target && taken.OverMs == order.OverMs",
				New:  "taken.Service == order.Service && taken.Target == order.Target",
			},
			Run: "^TestStateMachine_LateDuplicates_Acknowledged$",
		},
		{
			Name: "a repeat of what is under way is refused after its window",
			Change: mutation.Change{
				File: "register.go",
				Old:  "isUnderWay && roll.isDuplicate(&order) || r.isRecentDuplicate(&order)",
				New:  "r.isRecentDuplicate(&order)",
			},
			Run: "^TestStateMachine_RevertedTarget_MayBeProposedAgain",
		},
		{
			Name: "a decision holds for any order of the target",
			Change: mutation.Change{
				File: "register.go",
				Old:  "roll.Index != decision.Order",
				New:  "roll.Target != decision.Target",
			},
			Run: "^TestStateMachine_RevertedTarget_MayBeProposedAgain",
		},
	})
}

package controller

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// The mutants of the campaigns are noticed within the histories that each run plays, from the first seed on.
func TestOrderMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "no order is recognised again",
			Change: mutation.Change{
				File: "../configuration/register.go",
				Old:  "\tcase found:\n\t\treturn Accepted\n\tcase truncated",
				New:  "\tcase truncated",
			},
			Run: "^TestHistoriesAreLinearizable$",
		},
		{
			Name: "the number alone is compared",
			Change: mutation.Change{
				File: "../configuration/chain.go",
				Old:  "if next < len(c.entries) && c.entries[next].digest == sum {",
				New:  "if next < len(c.entries) {",
			},
			Run: "^TestHistoriesAreLinearizable$",
		},
		{
			Name: "the version is looked at before repeats",
			Change: mutation.Change{
				File: "../configuration/register.go",
				Old:  "\tsum := fingerprintOf(order)\n\tswitch",
				New:  "\tsum := fingerprintOf(order)\n\tif order.Base != r.current.Number {\n\t\treturn Conflict\n\t}\n\tswitch",
			},
			Run: "^TestHistoriesAreLinearizable$",
		},
		{
			Name: "a snapshot loses the history",
			Change: mutation.Change{
				File: "../configuration/register.go",
				Old:  "decodeHistory(state.HistoryBase, state.History)",
				New:  "decodeHistory(0, nil)",
			},
			Run: "^TestRepeatsAfterHundreds",
		},
		{
			Name: "what was refused is taken later",
			Change: mutation.Change{
				File: "../configuration/register.go",
				Old:  "\t\tr.rememberRejection(order.Base, sum)\n",
				New:  "",
			},
			Run: "^TestHistoriesAreLinearizable$",
		},
		{
			Name: "any version is replaced",
			Change: mutation.Change{
				File: "../configuration/register.go",
				Old:  "\tif order.Base != r.current.Number {\n\t\tr.rememberRejection(order.Base, sum)\n\t\treturn Conflict\n\t}\n",
				New:  "",
			},
			Run: "^TestHistoriesAreLinearizable$",
		},
		{
			Name: "what isn't agreed on is acknowledged",
			Change: mutation.Change{
				File: "configure.go",
				Old:  "\tresult, err := c.propose(e.Request().Context(), order)\n\tif err != nil {\n\t\treturn c.proposalError(err)\n\t}\n",
				New:  "\tresult, err := c.propose(e.Request().Context(), order)\n\tif err != nil {\n\t\treturn e.NoContent(http.StatusOK)\n\t}\n",
			},
			Run: "^TestAnAnswerLost",
		},
		{
			Name: "only the newest roll-out is remembered",
			Change: mutation.Change{
				File: "../rollout/register.go",
				Old:  "isUnderWay && roll.isDuplicate(&order) || r.isRecentDuplicate(&order)",
				New:  "known && roll.isDuplicate(&order)",
			},
			Run: "^TestRolloutOrdersBeginOnce$",
		},
		{
			Name: "the window of repeats is too short",
			Change: mutation.Change{
				File: "repeats.go",
				Old:  "return bounds.ConfirmWithin() + bounds.Stretch()",
				New:  "return bounds.ConfirmWithin() / 8",
			},
			Run: "^TestRolloutOrdersBeginOnce$",
		},
		{
			Name: "the window of repeats has no end",
			Change: mutation.Change{
				File: "repeats.go",
				Old:  "\treturn c.repeats.ExpiredUpTo(c.options.Clock(), c.options.Now(), c.agree.taken())\n",
				New:  "\treturn 0\n",
			},
			Run: "^TestALateRepeat",
		},
		{
			Name: "the time of day alone tells what is a repeat",
			Change: mutation.Change{
				File: "../dedup/window.go",
				Old:  "max(w.SeenFor(now, order.Index), age) > w.length",
				New:  "age > w.length",
			},
			Run: "^TestALateRepeat",
		},
		{
			Name: "a machine that has gone is not known",
			Change: mutation.Change{
				File: "retirements.go",
				Old:  "\t\tstore, known = c.absentStore(node)\n",
				New:  "\t\t_ = c.absentStore\n",
			},
			Run: "^TestARetireOrder",
		},
		{
			Name: "an order is in service since it was sent",
			Change: mutation.Change{
				File: "rollouts.go",
				Old:  "\tif known == 0 && seen >= reportTimeout {",
				New:  "\tif known == 0 {",
			},
			Run: "^TestTimeInService$",
		},
		{
			Name: "the answers to an earlier order count",
			Change: mutation.Change{
				File: "rollouts.go",
				Old:  "\t\tif tally.Order == roll.Index {",
				New:  "\t\tif tally.Order <= roll.Index {",
			},
			Run: "^TestEachRollout",
		},
	})
}

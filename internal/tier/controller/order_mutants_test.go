package controller

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// configurationOrderMutants break the decision or acknowledgement of configurations.
var configurationOrderMutants = []mutation.Mutant{
	{
		Name: "no duplicate is recognized",
		Change: mutation.Change{
			File: "../configuration/state_machine.go",
			Old:  "\tcase found:\n\t\treturn Accepted\n\tcase truncated",
			New:  "\tcase truncated",
		},
		Run: "^TestRandomOrderHistories_AreLinearizable$",
	},
	{
		Name: "the number alone is compared",
		Change: mutation.Change{
			File: "../configuration/history.go",
			Old:  "if next < len(h.entries) && h.entries[next].digest == digest {",
			New:  "if next < len(h.entries) {",
		},
		Run: "^TestRandomOrderHistories_AreLinearizable$",
	},
	{
		Name: "the base version is compared before duplicates are looked up",
		Change: mutation.Change{
			File: "../configuration/state_machine.go",
			Old:  "\tdigest := fingerprintOf(proposal)\n\tswitch",
			New:  "\tdigest := fingerprintOf(proposal)\n\tif proposal.Base != s.current.Number {\n\t\treturn Conflict\n\t}\n\tswitch",
		},
		Run: "^TestRandomOrderHistories_AreLinearizable$",
	},
	{
		Name: "a snapshot loses the history",
		Change: mutation.Change{
			File: "../configuration/snapshot.go",
			Old:  "decodeHistory(snapshot.HistoryBase, snapshot.History)",
			New:  "decodeHistory(0, nil)",
		},
		Run: "^TestConfigurationOrder_DuplicatesAfterChangesAndRestarts_Acknowledged",
	},
	{
		Name: "a rejected proposal is accepted later",
		Change: mutation.Change{
			File: "../configuration/state_machine.go",
			Old:  "\t\ts.rememberRejection(proposal.Base, digest)\n",
			New:  "",
		},
		Run: "^TestRandomOrderHistories_AreLinearizable$",
	},
	{
		Name: "any version is replaced",
		Change: mutation.Change{
			File: "../configuration/state_machine.go",
			Old:  "\tif proposal.Base != s.current.Number {\n\t\ts.rememberRejection(proposal.Base, digest)\n\t\treturn Conflict\n\t}\n",
			New:  "",
		},
		Run: "^TestRandomOrderHistories_AreLinearizable$",
	},
	{
		Name: "an uncommitted order is acknowledged",
		Change: mutation.Change{
			File: "api_settings.go",
			Old:  "\tresult, err := c.propose(e.Request().Context(), proposal)\n\tif err != nil {\n\t\treturn c.proposalError(err)\n\t}\n",
			New:  "\tresult, err := c.propose(e.Request().Context(), proposal)\n\tif err != nil {\n\t\treturn e.NoContent(http.StatusOK)\n\t}\n",
		},
		Run: "^TestConfigurationOrder_AnswerLostAtAnyStep_Idempotent",
	},
}

// rolloutDuplicateMutants break the recognition of duplicate roll-outs.
var rolloutDuplicateMutants = []mutation.Mutant{
	{
		Name: "only the newest roll-out is recognized as a duplicate",
		Change: mutation.Change{
			File: "../rollout/state_machine.go",
			Old:  "inProgress && newest.isDuplicate(&proposal) || s.isRecentDuplicate(&proposal)",
			New:  "known && newest.isDuplicate(&proposal)",
		},
		Run: "^TestRolloutOrders_DuplicatesInAnyHistory_BeginOnce$",
	},
	{
		Name: "the dedup window is too short",
		Change: mutation.Change{
			File: "dedup.go",
			Old:  "return bounds.ConfirmWithin() + bounds.UnstableExtension()",
			New:  "return bounds.ConfirmWithin() / 8",
		},
		Run: "^TestRolloutOrders_DuplicatesInAnyHistory_BeginOnce$",
	},
	{
		Name: "the dedup window has no end",
		Change: mutation.Change{
			File: "dedup.go",
			Old:  "\treturn c.dedupWindow.ExpiredUpTo(c.options.Clock(), c.options.Now(), c.state.dedupEntries())\n",
			New:  "\treturn 0\n",
		},
		Run: "^TestRolloutOrder_LateDuplicate_StartsNoSecondRollout",
	},
	{
		Name: "the time of day alone decides what is a duplicate",
		Change: mutation.Change{
			File: "../dedup/window.go",
			Old:  "max(w.SeenFor(now, order.Index), age) > w.length",
			New:  "age > w.length",
		},
		Run: "^TestRolloutOrder_LateDuplicate_StartsNoSecondRollout",
	},
}

// decommissionOrderMutants break the acknowledgement of decommissioning.
var decommissionOrderMutants = []mutation.Mutant{
	{
		Name: "an absent store is unknown",
		Change: mutation.Change{
			File: "api_decommission.go",
			Old:  "\t\tstore, known = c.absentStore(node)\n",
			New:  "\t\t_ = c.absentStore\n",
		},
		Run: "^TestDecommissionOrder_DuplicateAfterEnd_Acknowledged",
	},
}

// rolloutAnalysisMutants evaluate a roll-out by a wrong time or by the stats of another one.
var rolloutAnalysisMutants = []mutation.Mutant{
	{
		Name: "a roll-out is in service from the time it was ordered",
		Change: mutation.Change{
			File: "rollout_analysis.go",
			Old:  "\tif knownFor == 0 && seenFor >= reportTimeout {",
			New:  "\tif knownFor == 0 {",
		},
		Run: "^TestRollout_TimeInService$",
	},
	{
		Name: "the stats of an earlier roll-out count",
		Change: mutation.Change{
			File: "rollout_stats.go",
			Old:  "\t\tif stats.Order == current.Index {",
			New:  "\t\tif stats.Order <= current.Index {",
		},
		Run: "^TestRollout_StatsOfEarlierOrder_Ignored",
	},
	{
		Name: "the answers that proxies report aren't put in order",
		Change: mutation.Change{
			File: "../rollout/evidence.go",
			Old:  "\tslices.SortStableFunc(answers, compareAnswers)\n",
			New:  "\tslices.Reverse(answers)\n",
		},
		Run: "^TestStatsTable_AnswersOfProxies_InTheOrderOfTheirTimes$",
	},
	{
		Name: "one report counts for those of all proxies",
		Change: mutation.Change{
			File: "rollout_stats.go",
			Old:  "	return heard >= proxies\n",
			New:  "	return heard > 0\n",
		},
		Run: "^TestRollout_ReportsMissingAfterRestart_NotFinished$",
	},
}

// TestOrderMutantsAreNoticed checks that tests detect these mutants. Those of the random histories are detected with the default seeds.
func TestOrderMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(configurationOrderMutants, rolloutDuplicateMutants, decommissionOrderMutants, rolloutAnalysisMutants))
}

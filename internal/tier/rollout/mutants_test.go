package rollout_test

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// duplicateMutants take new proposals for duplicates, or duplicates for new proposals.
var duplicateMutants = []mutation.Mutant{
	{
		Name: "only the newest proposal is recognized as a duplicate",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "inProgress && newest.isDuplicate(&proposal) || s.isRecentDuplicate(&proposal)",
			New:  "known && newest.isDuplicate(&proposal)",
		},
		Run:    "^TestStateMachine_LateDuplicates_Acknowledged$",
		Always: true,
	},
	{
		Name: "duplicates of ended roll-outs are not recognized",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "\ts.expireRecent(proposal.DedupExpiredIndex)\n",
			New:  "\ts.expireRecent(index)\n",
		},
		Run: "^TestStateMachine_Duplicate_StartsNoSecondRollout",
	},
	{
		Name: "the dedup window has no end",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "\ts.expireRecent(proposal.DedupExpiredIndex)\n",
			New:  "",
		},
		Run: "^TestStateMachine_LateDuplicates_Acknowledged$",
	},
	{
		Name: "a snapshot loses the recent proposals",
		Change: mutation.Change{
			File: "snapshot.go",
			Old:  "\ts.recent = slices.Clone(snapshot.Recent)\n",
			New:  "\t_ = slices.Clone(snapshot.Recent)\n",
		},
		Run: "^TestStateMachine_LateDuplicates_Acknowledged$",
	},
	{
		Name: "proposals with different durations are duplicates",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "r.Service == proposal.Service && r.Target == proposal.Target && r.DurationMs == proposal.DurationMs",
			New:  "r.Service == proposal.Service && r.Target == proposal.Target",
		},
		Run: "^TestStateMachine_LateDuplicates_Acknowledged$",
	},
}

// inProgressMutants confuse a roll-out in service with another one of the same target.
var inProgressMutants = []mutation.Mutant{
	{
		Name: "a duplicate of a roll-out in service is rejected after the dedup window",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "inProgress && newest.isDuplicate(&proposal) || s.isRecentDuplicate(&proposal)",
			New:  "s.isRecentDuplicate(&proposal)",
		},
		Run: "^TestStateMachine_RevertedTarget_MayBeProposedAgain",
	},
	{
		Name: "a decision applies to any roll-out of the target",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "newest.Index != decision.ProposalIndex",
			New:  "newest.Target != decision.Target",
		},
		Run: "^TestStateMachine_RevertedTarget_MayBeProposedAgain",
	},
}

// evidenceMutants lose the order of answers, or decide before all are known.
var evidenceMutants = []mutation.Mutant{
	{
		Name: "a history loses the order of answers",
		Change: mutation.Change{
			File: "history.go",
			Old:  "now.Sub(h.intervals[last].began) < intervalLength",
			New:  "now.Sub(h.intervals[last].began) < 1000*intervalLength",
		},
		Run: "^TestHistory_Answers_KeepTheirOrder$",
	},
	{
		Name: "a new analysis takes all answers as one",
		Change: mutation.Change{
			File: "analysis.go",
			Old:  "	a.processed = maps.Clone(target.Totals)\n",
			New:  "	a.processed = StatsByRoute{}\n	a.update(target.Totals, baseline)\n	target.Histories = nil\n",
		},
		Run:    "^TestAnalysis_LeadersChange_DecisionStays$",
		Always: true,
	},
	{
		Name: "an analysis goes on from sums that have shrunk",
		Change: mutation.Change{
			File: "analysis.go",
			Old:  " &&\n\t\ta.isIncludedIn(target.Totals)\n",
			New:  "\n",
		},
		Run: "^TestAnalysis_CountsOfEndedProxyForgotten_LaterAnswersCount$",
	},
	{
		Name: "an analysis goes on after an interruption",
		Change: mutation.Change{
			File: "analysis.go",
			Old:  "elapsed-a.evaluatedAt <= maxEvaluationGap",
			New:  "elapsed >= a.evaluatedAt",
		},
		Run: "^TestAnalysis_Interrupted_TakesAnswersInOrder$",
	},
	{
		Name: "a roll-out is finished whatever its newest answers are",
		Change: mutation.Change{
			File: "analysis.go",
			Old:  "\treturn ratio >= undecidedRatio\n",
			New:  "\treturn ratio < 0\n",
		},
		Run: "^TestAnalysis_BadAnswersBeforeDeadline_DecidedByTheNext$",
	},
	{
		Name: "a roll-out is finished on incomplete evidence",
		Change: mutation.Change{
			File: "analysis.go",
			Old:  "elapsed < duration-early || !target.Complete",
			New:  "elapsed < duration-early",
		},
		Run: "^TestAnalysis_IncompleteEvidence_NotFinished$",
	},
}

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(duplicateMutants, inProgressMutants, evidenceMutants))
}

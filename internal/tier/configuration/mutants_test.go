package configuration_test

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// duplicateMutants mistake another proposal for a duplicate, or a duplicate for another proposal.
var duplicateMutants = []mutation.Mutant{
	{
		Name: "no duplicate is recognized",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "\tcase found:\n\t\treturn Accepted\n\tcase truncated",
			New:  "\tcase truncated",
		},
		Run:    "^TestStateMachine_CopiesInAnyOrder_OneWinnerPerVersion",
		Always: true,
	},
	{
		Name: "the number alone is compared",
		Change: mutation.Change{
			File: "history.go",
			Old:  "if next < len(h.entries) && h.entries[next].digest == digest {",
			New:  "if next < len(h.entries) {",
		},
		Run: "^TestStateMachine_Apply$",
	},
	{
		Name: "the base version is compared before duplicates are looked up",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "\tdigest := fingerprintOf(proposal)\n\tswitch",
			New:  "\tdigest := fingerprintOf(proposal)\n\tif proposal.Base != s.current.Number {\n\t\treturn Conflict\n\t}\n\tswitch",
		},
		Run: "^TestStateMachine_Apply$",
	},
	{
		Name: "the same content on another version is a duplicate",
		Change: mutation.Change{
			File: "proposal.go",
			Old:  "	hash.Write([]byte(strconv.FormatUint(proposal.Base, 10)))\n",
			New:  "	_ = strconv.FormatUint\n",
		},
		Also: []mutation.Change{{
			File: "history.go",
			Old:  "	if base < h.base {\n",
			New:  "	for _, l := range h.entries {\n		if l.digest == digest {\n			return found\n		}\n	}\n	if base < h.base {\n",
		}},
		Run: "^TestStateMachine_Apply$",
	},
}

// historyMutants lose or misread the history of versions.
var historyMutants = []mutation.Mutant{
	{
		Name: "a snapshot loses the history",
		Change: mutation.Change{
			File: "snapshot.go",
			Old:  "decodeHistory(snapshot.HistoryBase, snapshot.History)",
			New:  "decodeHistory(0, nil)",
		},
		Run: "^TestStateMachine_RandomProposals_AgreesWithReference|^TestStateMachine_DuplicatesAfterManyChanges_Acknowledged",
	},
	{
		Name: "a truncated history rejects",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "\t\treturn HistoryTruncated\n",
			New:  "\t\treturn Conflict\n",
		},
		Run: "^TestHistory_BeyondBound_TruncatesOldest$",
	},
	{
		Name: "a snapshot loses the base of its history",
		Change: mutation.Change{
			File: "snapshot.go",
			Old:  "HistoryBase: s.history.base, ",
			New:  "",
		},
		Run: "^TestHistory_BeyondBound_TruncatesOldest$",
	},
}

// rejectionMutants lose rejections.
var rejectionMutants = []mutation.Mutant{
	{
		Name: "a rejected proposal is accepted later",
		Change: mutation.Change{
			File: "state_machine.go",
			Old:  "\t\ts.rememberRejection(proposal.Base, digest)\n",
			New:  "",
		},
		Run: "^TestStateMachine_Apply$|^TestRejections_BeyondBound_DropsOldest",
	},
	{
		Name: "a snapshot loses the rejections",
		Change: mutation.Change{
			File: "snapshot.go",
			Old:  "\t\ts.rejected = append(s.rejected, restored)\n",
			New:  "\t\t_ = restored\n",
		},
		Run: "^TestRejections_BeyondBound_DropsOldest",
	},
}

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(duplicateMutants, historyMutants, rejectionMutants))
}

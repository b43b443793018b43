package programclient

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	change := func(from, to string) mutation.Change { return mutation.Change{File: "client.go", Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "the next call begins with a silent store",
			Change: change("\t\t\tc.avoid(shard, address)\n", ""),
			Run:    "^TestNextCallBeginsElsewhereAfterASilence$",
		},
		{
			Name:   "a caller that goes makes the owner doubtful",
			Change: change("isUnanswered(err) && !errors.Is(ctx.Err(), context.Canceled)", "isUnanswered(err)"),
			Run:    "^TestNextCallBeginsElsewhereAfterASilence$",
		},
		{
			Name:   "a hint to a silent store is followed at once",
			Change: change(" && hint != silent {", " && (hint != silent || true) {"),
			Run:    "^TestSilentStoreIsAskedAgainOnlyAfterTheOthers$",
		},
		{
			Name:   "hints are not followed",
			Change: change("\t\t\taddress = hint\n", "\t\t\taddress = c.leader(shard)\n"),
			Run:    "^TestOwnerIsFoundByTheOthersHint$",
		},
		{
			Name:   "a turn is missing though a shard didn't answer",
			Change: change("\treturn nil, false, failed\n", "\tfailed = nil\n\treturn nil, false, failed\n"),
			Run:    "^TestTurnIsMissingOnlyIfEveryShardIsCertain$",
		},
		{
			Name:   "another beginning than the owner names is put in front",
			Change: mutation.Change{File: "chains.go", Old: "held[begun.CachedIndex-1]", New: "held[0]"},
			Run:    "^TestChainsAreWhatTheShardHolds$",
		},
		{
			Name:   "a chain keeps the input of a turn that was begun again",
			Change: mutation.Change{File: "chains.go", Old: "\tc.evict(c.byTurn[turn.Turn])\n", New: ""},
			Run:    "^TestChainsAreWhatTheShardHolds$",
		},
		{
			Name:   "chains go beyond their bound",
			Change: mutation.Change{File: "chains.go", Old: "for c.bytes > c.maxBytes {", New: "for c.bytes > 2*c.maxBytes {"},
			Run:    "^TestChainsAreWhatTheShardHolds$",
		},
	})
}

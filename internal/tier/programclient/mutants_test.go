package programclient

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

func TestMutantsAreNoticed(t *testing.T) {
	change := func(from, to string) mutation.Change { return mutation.Change{File: "leader.go", Old: from, New: to} }
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "the next call starts with an unresponsive store",
			Change: change("\t\t\tc.avoid(shard, address)\n", ""),
			Run:    "^TestClient_LeaderUnresponsive_NextCallStartsElsewhere$",
		},
		{
			Name:   "the leader is avoided after a caller has canceled",
			Change: change("isUnanswered(err) && !errors.Is(ctx.Err(), context.Canceled)", "isUnanswered(err)"),
			Run:    "^TestClient_LeaderUnresponsive_NextCallStartsElsewhere$",
		},
		{
			Name:   "a follower's hint to an unresponsive store is followed at once",
			Change: change(" && hint != unresponsive {", " && (hint != unresponsive || true) {"),
			Run:    "^TestClient_HintedLeaderUnresponsive_TriesOthersFirst$",
		},
		{
			Name:   "hints of followers are ignored",
			Change: change("\t\t\taddress = hint\n", "\t\t\taddress = c.leader(shard)\n"),
			Run:    "^TestClient_FollowerHints_FindsLeader$",
		},
		{
			Name:   "a turn is reported as not found though a shard didn't answer",
			Change: mutation.Change{File: "client.go", Old: "\treturn nil, false, lastErr\n", New: "\tlastErr = nil\n\treturn nil, false, lastErr\n"},
			Run:    "^TestClient_TurnNotFound_OnlyIfEveryShardAnswers$",
		},
		{
			Name:   "the chain is joined with another prefix than the leader omitted",
			Change: mutation.Change{File: "prefix_cache.go", Old: "cached[response.CachedIndex-1]", New: "cached[0]"},
			Run:    "^TestPrefixCache_AnyTurns_ChainsEqualTheShards$",
		},
		{
			Name:   "a cached chain keeps the first input of a turn that is begun again",
			Change: mutation.Change{File: "prefix_cache.go", Old: "\tc.evict(c.byTurn[turn.Turn])\n", New: ""},
			Run:    "^TestPrefixCache_AnyTurns_ChainsEqualTheShards$",
		},
		{
			Name:   "the cache exceeds its bound",
			Change: mutation.Change{File: "prefix_cache.go", Old: "for c.bytes > c.maxBytes {", New: "for c.bytes > 2*c.maxBytes {"},
			Run:    "^TestPrefixCache_AnyTurns_ChainsEqualTheShards$",
		},
	})
}

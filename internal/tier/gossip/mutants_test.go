package gossip

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// Patterns of the scenarios that detect the mutants.
const (
	formerLeaders  = "^TestScenarios$/given_a_leader_that_was_replaced"
	duplicates     = "^TestScenarios$/given_an_update_that_comes_twice"
	staleMembers   = "^TestScenarios$/given_a_stale_member"
	partitions     = "^TestScenarios$/given_a_partitioned_member"
	hangingSources = "^TestScenarios$/given_a_source_that_hangs"
	dyingSources   = "^TestScenarios$/given_a_source_that_dies"
)

// storeMutants break which updates are stored and which digests are sent.
var storeMutants = []mutation.Mutant{
	{
		Name: "older updates are applied",
		Change: mutation.Change{
			File: "gossiper.go",
			Old:  "\tif !g.store.Put(update) {",
			New:  "\tdelete(g.store.updates, update.Section)\n\tif !g.store.Put(update) {",
		},
		Run:    formerLeaders,
		Always: true,
	},
	{
		Name: "updates are reported twice",
		Change: mutation.Change{
			File: "gossiper.go",
			Old:  "if !g.store.Put(update) {",
			New:  "if !g.store.Put(update) && false {",
		},
		Run: duplicates,
	},
	{
		Name: "stale members are not answered",
		Change: mutation.Change{
			File: "digest.go",
			Old:  "; newer != nil {",
			New:  "; newer != nil && false {",
		},
		Run: staleMembers,
	},
	{
		Name: "complete digests are not sent",
		Change: mutation.Change{
			File: "digest.go",
			Old:  "|| g.now < g.nextDigest {",
			New:  "|| true {",
		},
		Also: []mutation.Change{
			{
				File: "gossiper.go",
				Old:  "if g.options.DigestInterval > 0 && len(g.peers) > 0 {",
				New:  "if false {",
			},
		},
		Run: partitions,
	},
}

// fetchMutants break the rules for fetching a section again.
var fetchMutants = []mutation.Mutant{
	{
		Name: "fetches never expire",
		Change: mutation.Change{
			File: "fetch.go",
			Old:  "if state.token != 0 && g.now >= state.deadline {",
			New:  "if false {",
		},
		Run: hangingSources,
	},
	{
		Name: "a section is fetched while its fetch is pending",
		Change: mutation.Change{
			File: "fetch.go",
			Old:  "if state.token != 0 {\n\t\t\tcontinue",
			New:  "if false {\n\t\t\tcontinue",
		},
		Run: dyingSources,
	},
}

func TestMutants_AreDetected(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(storeMutants, fetchMutants))
}

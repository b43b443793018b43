package simulation

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutants shows that the tests of this package notice deliberate mistakes in the code that the roles run.
func TestMutants(t *testing.T) {
	t.Parallel()
	mutation.Test(t, mutants)
}

// mutants are the mistakes, each with a pattern of tests at least one of which must fail.
var mutants = []mutation.Mutant{
	{
		Name:   "a minority counts as a quorum",
		Change: mutation.Change{File: "../replica/configuration.go", Old: "return c.voters/2 + 1", New: "return max(1, c.voters/2)"},
		Run:    "TestLeader_Partitioned",
	},
	{
		Name:   "the history of accepted orders is too short to recognize duplicates",
		Change: mutation.Change{File: "../configuration/history.go", Old: "const maxHistory = 32768", New: "const maxHistory = 16"},
		Run:    "TestOrder_SentAgain",
	},
	{
		Name: "two orders are accepted on one version",
		Change: mutation.Change{
			File: "../configuration/state_machine.go",
			Old:  "if proposal.Base != s.current.Number {",
			New:  "if proposal.Base > s.current.Number {",
		},
		Run: "TestOrders_TwoOfOneNumber|TestLaggingController",
	},
	{
		Name:   "entries are acknowledged before they are durable",
		Change: mutation.Change{File: "../storage/group.go", Old: "if err := g.log.Sync(); err != nil {", New: "if err := error(nil); err != nil {"},
		Run:    "TestLaggingController|TestRandomDays",
		Args:   moreDays,
	},
	{
		Name: "a new member ignores the snapshot that it receives",
		Change: mutation.Change{
			File: "../group/iteration.go",
			Old:  "if err := g.restore(g.disk, true); err != nil {",
			New:  "if err := error(nil); err != nil {",
		},
		Run: "TestLaggingController",
	},
	{
		Name: "shards have too few replicas",
		Change: mutation.Change{
			File: "../controller/controller.go",
			Old:  "return 2*c.options.Settings.FaultTolerance.Machines + 1",
			New:  "return c.options.Settings.FaultTolerance.Machines + 1",
		},
		Run: "TestReplacement_NextLoss",
	},
	{
		Name: "all requests may be retried",
		Change: mutation.Change{
			File: "../proxy/retries.go",
			Old:  "return route.Kind == model.Retryable || route.Kind == model.Streaming && route.Resumable",
			New:  "return true",
		},
		Run: "TestAtMostOnceRequests",
	},
}

// moreDays are the flags for as many random days as rare mistakes take to show.
var moreDays = []string{"-days", "10"}

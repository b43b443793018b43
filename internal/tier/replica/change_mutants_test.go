package replica

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestChangeMutantsAreNoticed tries mistakes in the order of a change's steps. Each test that notices one plays one seed, or all
// orders of events.
func TestChangeMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	const successors = "^TestEachSuccessorVotesAsSoonAsItHasCaughtUp$"
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "silent voters go before a successor has caught up",
			Change: mutation.Change{File: "confchange.go", Old: "return voters > targetVoters || voters == targetVoters && ready", New: "return ready || voters+targetVoters > 0"},
			Run:    successors,
		},
		{
			Name:   "two silent voters go for one successor",
			Change: mutation.Change{File: "confchange.go", Old: "return voters > targetVoters || voters == targetVoters && ready", New: "return voters > targetVoters || ready"},
			Run:    successors,
		},
		{
			Name:   "a successor votes beside the silent voter",
			Change: mutation.Change{File: "confchange.go", Old: "if r.canSpareVoter() {", New: "if false {"},
			Run:    successors,
		},
		{
			Name:   "a learner votes before it has caught up",
			Change: mutation.Change{File: "confchange.go", Old: "return r.isActive(p) && p.match > 0 &&", New: "return r.isActive(p) || p.match > 0 &&"},
			Run:    "^TestPromotedMemberKnowsItsGroup$",
		},
		{
			Name: "learners count, explored",
			Change: mutation.Change{
				File: "leader.go",
				Old:  "if !p.learner {",
				New:  "if true {",
			},
			Run: "^TestEveryOrderAroundAChangeIsSafe$",
		},
	})
}

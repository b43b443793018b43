package replica

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestConfChangeMutants_AreNoticed tries mistakes in the order of a change's steps. Each test that notices one plays one seed, or all
// orders of events.
func TestConfChangeMutants_AreNoticed(t *testing.T) {
	t.Parallel()
	const successors = "^TestConfChange_TwoVotersLost_EachReplacementVotesOnceCaughtUp$"
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "inactive voters go before a replacement has caught up",
			Change: mutation.Change{File: "confchange.go", Old: "return voters > targetVoters || voters == targetVoters && ready", New: "return ready || voters+targetVoters > 0"},
			Run:    successors,
		},
		{
			Name:   "two inactive voters go for one replacement",
			Change: mutation.Change{File: "confchange.go", Old: "return voters > targetVoters || voters == targetVoters && ready", New: "return voters > targetVoters || ready"},
			Run:    successors,
		},
		{
			Name:   "a replacement votes beside the inactive voter",
			Change: mutation.Change{File: "confchange.go", Old: "if r.canSpareVoter() {", New: "if false {"},
			Run:    successors,
		},
		{
			Name:   "a learner votes before it has caught up",
			Change: mutation.Change{File: "confchange.go", Old: "return r.isActive(p) && p.match > 0 &&", New: "return r.isActive(p) || p.match > 0 &&"},
			Run:    "^TestConfChange_LearnerWithoutConfiguration_IsNotPromoted$",
		},
		{
			Name: "learners count, explored",
			Change: mutation.Change{
				File: "leader.go",
				Old:  "if !p.learner {",
				New:  "if true {",
			},
			Run: "^TestExploration_OrdersAroundConfChange_AreSafe$",
		},
		{
			Name:   "a removed member isn't told",
			Change: mutation.Change{File: "election.go", Old: "response.ExcludedAt = r.exclusionOf(request.From)", New: "response.ExcludedAt = nil"},
			Run:    "^TestRemovedMember_WasPartitioned_LearnsIt$",
		},
		{
			Name:   "a removed member takes part in elections on",
			Change: mutation.Change{File: "election.go", Old: "return r.configurations.isVoter(r.options.ID) && !r.isExcluded()", New: "return r.configurations.isVoter(r.options.ID)"},
			Run:    "^TestRemovedMember_WasPartitioned_LearnsIt$",
		},
		{
			Name:   "an outdated removal is believed",
			Change: mutation.Change{File: "exclusion.go", Old: "r.exclusion.at.Index > r.commit && !r.log.matchTerm(r.exclusion.at.Index, r.exclusion.at.Term)", New: "r.exclusion.at.Index > 0"},
			Run:    "^TestExclusion_MemberKnowsLaterConfiguration_IsIgnored$",
		},
		{
			Name:   "only former peers are asked",
			Change: mutation.Change{File: "election.go", Old: "for _, contact := range r.contacts {", New: "for _, contact := range r.contacts[:0] {"},
			Run:    "^TestRemovedMember_AllFormerPeersGone_LearnsItFromContacts$",
		},
	})
}

package replica

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestConfChangeMutants_AreNoticed checks that tests detect mistakes in the order of the steps of a membership change. Each
// of these tests plays one seed or explores all orders of events.
func TestConfChangeMutants_AreNoticed(t *testing.T) {
	t.Parallel()
	const eachReplacement = "^TestConfChange_TwoVotersLost_EachReplacementVotesOnceCaughtUp$"
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "inactive voters are removed before a replacement has caught up",
			Change: mutation.Change{File: "confchange.go", Old: "return voters > targetVoters || voters == targetVoters && replacementReady", New: "return replacementReady || voters+targetVoters > 0"},
			Run:    eachReplacement,
		},
		{
			Name:   "two inactive voters are removed for one replacement",
			Change: mutation.Change{File: "confchange.go", Old: "return voters > targetVoters || voters == targetVoters && replacementReady", New: "return voters > targetVoters || replacementReady"},
			Run:    eachReplacement,
		},
		{
			Name:   "a replacement is promoted before the inactive voter is removed",
			Change: mutation.Change{File: "confchange.go", Old: "if r.canRemoveVoter() {", New: "if false {"},
			Run:    eachReplacement,
		},
		{
			Name:   "a learner is promoted before it has caught up",
			Change: mutation.Change{File: "confchange.go", Old: "return r.isActive(p) && p.match > 0 &&", New: "return r.isActive(p) || p.match > 0 &&"},
			Run:    "^TestConfChange_LearnerWithoutConfiguration_IsNotPromoted$",
		},
		{
			Name: "learners count towards a majority, explored",
			Change: mutation.Change{
				File: "leader.go",
				Old:  "if !p.learner {",
				New:  "if true {",
			},
			Run: "^TestExploration_OrdersAroundConfChange_AreSafe$",
		},
		{
			Name:   "a removed member is not told of its removal",
			Change: mutation.Change{File: "election.go", Old: "response.ExcludedAt = r.exclusionOf(request.From)", New: "response.ExcludedAt = nil"},
			Run:    "^TestRemovedMember_WasPartitioned_LearnsIt$",
		},
		{
			Name:   "a removed member continues to campaign",
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

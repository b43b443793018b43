package node

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutants_StaleViews_AreDetected tries mistakes by which a partitioned controller could make members revert to old sections.
func TestMutants_StaleViews_AreDetected(t *testing.T) {
	const detecting = "TestAgent_AsksPartitionedController_NeverGoesBackAndCatchesUp"
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "stamps are compared by sequence without the term",
			Change: mutation.Change{File: "../view/view.go", Old: "return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence",
				New: "return s.Sequence < o.Sequence"},
			Run: detecting, Always: true,
		},
		{
			Name:   "older updates are applied",
			Change: mutation.Change{File: "../gossip/store.go", Old: "if found && !current.Stamp.Less(update.Stamp) {", New: "if found && current.Stamp == update.Stamp {"},
			Also: []mutation.Change{{File: "../gossip/digest.go", Old: "if g.store.Stamp(section).Less(stamp) {",
				New: "if g.store.Stamp(section) != stamp {"},
				{File: "../gossip/fetch.go", Old: "if !current.Less(candidate.stamp) {", New: "if current == candidate.stamp {"}},
			Run: detecting,
		},
		{
			Name:   "one controller is asked at the start and after a freeze",
			Change: mutation.Change{File: "antientropy.go", Old: "controllersAfterFreeze = 3", New: "controllersAfterFreeze = 1"},
			Run:    detecting,
		},
	})
}

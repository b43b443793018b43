package node

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsOfStaleViewsAreCaught tries the mistakes by which a controller that is cut off could bring old sections back.
func TestMutantsOfStaleViewsAreCaught(t *testing.T) {
	const noticing = "TestWhatIsTakenFromAControllerThatIsCutOff"
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "the sequence of a former owner counts",
			Change: mutation.Change{File: "../view/view.go", Old: "return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence",
				New: "return s.Sequence < o.Sequence"},
			Run: noticing, Always: true,
		},
		{
			Name:   "older pieces are taken",
			Change: mutation.Change{File: "../gossip/store.go", Old: "if found && !held.Stamp.Less(piece.Stamp) {", New: "if found && held.Stamp == piece.Stamp {"},
			Also: []mutation.Change{{File: "../gossip/spreader.go", Old: "if s.store.Stamp(section).Less(stamp) {",
				New: "if s.store.Stamp(section) != stamp {"},
				{File: "../gossip/fetch.go", Old: "if !held.Less(candidate.stamp) {", New: "if held == candidate.stamp {"}},
			Run: noticing,
		},
		{
			Name:   "one controller is asked at the start and after a thaw",
			Change: mutation.Change{File: "questions.go", Old: "askedAnew       = 3", New: "askedAnew       = 1"},
			Run:    noticing,
		},
	})
}

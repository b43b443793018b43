package decommission

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsAreNoticed checks that tests detect mistakes in IsDrained.
func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	const drainedTest = "^TestIsDrained$"
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "groups that follow another placement count",
			Change: mutation.Change{File: "drained.go", Old: "if !reported || group.PlacementIndex != placement.Index {", New: "if !reported {"},
			Run:    drainedTest,
		},
		{
			Name: "lagging members count as caught up",
			Change: mutation.Change{File: "drained.go", Old: " || len(group.CaughtUp) != len(target) {",
				New: " {"},
			Also: []mutation.Change{{File: "drained.go", Old: " || !slices.Contains(group.CaughtUp, replica.ID) {", New: " {"}},
			Run:  drainedTest,
		},
		{
			Name:   "the machine may still host target replicas",
			Change: mutation.Change{File: "drained.go", Old: " || hosts(operation, shard.Replicas) {", New: " {"},
			Also:   []mutation.Change{{File: "drained.go", Old: "func hosts(", New: "var _ = hosts\n\nfunc hosts("}},
			Run:    drainedTest,
		},
		{
			Name:   "groups with too few replicas are complete",
			Change: mutation.Change{File: "drained.go", Old: "if len(target) < replicationFactor || ", New: "if "},
			Run:    drainedTest,
		},
	})
}

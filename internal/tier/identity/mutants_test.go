package identity

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsAreNoticed tries mutants that let a disk vote under the identity of an erased one.
func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "an empty disk gets its earlier identity",
			Change: mutation.Change{File: "identity.go", Old: "	if !bootstrap {\n", New: "	if false && !bootstrap {\n"},
			Run:    "Test",
		},
		{
			Name:   "a damaged disk keeps its identity",
			Change: mutation.Change{File: "identity.go", Old: "if err = erase(disk); err != nil {\n		return \"\", err\n	}\n	id, _, err", New: "if err != nil {\n		return id, nil\n	}\n	id, _, err"},
			Run:    "Test",
		},
	})
}

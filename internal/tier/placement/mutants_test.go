package placement_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsAreNoticed tries mistakes about when a machine counts as lost.
func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a loss is forgotten",
			Change: mutation.Change{File: "watch.go", Old: "lost[holder.ID], w.lost[holder.ID] = true, true", New: "lost[holder.ID] = true"},
			Run:    "^TestTracker_Lost_StaysLostUntilBack$",
		},
		{
			Name:   "a machine that is back stays lost",
			Change: mutation.Change{File: "watch.go", Old: "		delete(w.lost, m.ID)\n", New: ""},
			Run:    "^TestTracker_Lost_StaysLostUntilBack$",
		},
		{
			Name:   "one newcomer stands for all that are missing",
			Change: mutation.Change{File: "watch.go", Old: "missing[:min(successors, len(missing))]", New: "missing[:min(successors*9, len(missing))]"},
			Run:    "^TestTracker_OneSpare_ReplacesOneMissing$",
		},
		{
			Name:   "a suspicion counts without a newcomer",
			Change: mutation.Change{File: "watch.go", Old: "now.Sub(w.firstSeen[m.ID]) < newcomerAge", New: "true || now.Sub(w.firstSeen[m.ID]) < newcomerAge"},
			Run:    "^TestTracker_LostReplicas$",
		},
		{
			Name:   "a wiped machine isn't lost",
			Change: mutation.Change{File: "watch.go", Old: "return m.Name == name || m.Address == holder.Address && !m.DeadOrLeft()", New: "return false && (m.Name == name || m.Address == holder.Address)"},
			Run:    "^TestTracker_LostReplicas$",
		},
	})
}

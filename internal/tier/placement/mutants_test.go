package placement_test

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestMutantsAreNoticed checks that the tests notice wrong rules for when a host counts as lost.
func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a lost host isn't remembered",
			Change: mutation.Change{File: "lost_hosts.go", Old: "lost[host.ID], t.lost[host.ID] = true, true", New: "lost[host.ID] = true"},
			Run:    "^TestTracker_Lost_StaysLostUntilBack$",
		},
		{
			Name:   "a host that has come back stays lost",
			Change: mutation.Change{File: "tracker.go", Old: "		delete(t.lost, m.ID)\n", New: ""},
			Run:    "^TestTracker_Lost_StaysLostUntilBack$",
		},
		{
			Name:   "one spare replaces all missing hosts",
			Change: mutation.Change{File: "lost_hosts.go", Old: "missing[:min(available, len(missing))]", New: "missing[:min(available*9, len(missing))]"},
			Run:    "^TestTracker_OneSpare_ReplacesOneMissing$",
		},
		{
			Name:   "replacedTimeout runs from the suspicion without a new spare",
			Change: mutation.Change{File: "lost_hosts.go", Old: "now.Sub(t.firstSeen[m.ID]) < newcomerAge", New: "true || now.Sub(t.firstSeen[m.ID]) < newcomerAge"},
			Run:    "^TestTracker_LostReplicas$",
		},
		{
			Name:   "a wiped host isn't lost",
			Change: mutation.Change{File: "lost_hosts.go", Old: "return m.Name == name || m.Address == host.Address && !m.DeadOrLeft()", New: "return false && (m.Name == name || m.Address == host.Address)"},
			Run:    "^TestTracker_LostReplicas$",
		},
	})
}

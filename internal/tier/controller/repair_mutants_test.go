package controller

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// TestRepairMutantsAreNoticed checks that the scenarios with real controllers and stores detect mistakes in moving replicas. Each
// scenario runs one seed.
func TestRepairMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "a leader follows an older placement",
			Change: mutation.Change{File: "../store/shard.go", Old: "case s.placementIndex == followed && !slices.Equal(s.lastTarget, s.targetMembers):", New: "case s.placementIndex > 0 && !slices.Equal(s.lastTarget, s.targetMembers):"},
			Run:    "^TestShardLeader_OlderPlacement_UndoesNothing$",
		},
		{
			Name:   "group reports are sent unconfirmed",
			Change: mutation.Change{File: "../store/shard.go", Old: "confirmed := err == nil && after.IsLeader && after.Term == before.Term", New: "confirmed := true || err == nil && after.IsLeader && after.Term == before.Term"},
			Run:    "^TestGroupReport_DeposedLeader_NotConfirmed$",
		},
		{
			Name:   "a lost store is forgotten once the spares have replicas",
			Change: mutation.Change{File: "../placement/lost_hosts.go", Old: "lost[host.ID], t.lost[host.ID] = true, true", New: "lost[host.ID] = true"},
			Run:    "^TestRepair_TwoLossesAtOnce_BothRepaired$",
		},
		{
			Name: "a lost controller isn't replaced by a spare at once",
			Change: mutation.Change{File: "../placement/lost_hosts.go",
				Old: "\tfor _, host := range t.replacedBySpares(now, t.spareMembers(role, hosts), len(lost), missing) {",
				New: "\tspare := t.spareMembers(role, hosts)\n\tif role == membership.Controller {\n\t\tspare = nil\n\t}\n" +
					"\tfor _, host := range t.replacedBySpares(now, spare, len(lost), missing) {"},
			Run: "^TestRepair_SecondLossRightAfter_LosesNothing$/^controller",
		},
	})
}

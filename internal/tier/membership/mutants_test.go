package membership

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Scenarios that notice the mutants.
const (
	accusations  = "^TestScenarios$/given_a_healthy_member"
	oldRecords   = "^TestScenarios$/given_a_new_process"
	isolation    = "^TestScenarios$/given_an_isolated_member"
	freezes      = "^TestScenarios$/given_a_probe_under_way"
	oneWayCuts   = "^TestScenarios$/given_a_one-way_cut"
	crowds       = "^TestScenarios$/given_a_hundred_members"
	longDeaths   = "^TestScenarios$/given_a_dead_member"
	cutsThatHeal = "^TestScenarios$/given_two_halves"
)

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "controllers leave replicas to the usual round",
			Change: mutation.Change{File: "probe.go", Old: "	n.probeReplicas()\n", New: ""},
			Run:    "^TestControllersSuspectReplicasSoon$",
		},
		{
			Name: "accusations are not refuted",
			Change: mutation.Change{
				File: "state.go",
				Old:  "if n.self.State == StateLeft || update.Incarnation < n.self.Incarnation {",
				New:  "if true {",
			},
			Run: accusations,
		},
		{
			Name: "records of earlier processes are taken",
			Change: mutation.Change{
				File: "state.go",
				Old:  "case update.Incarnation > known.Incarnation:",
				New:  "case true:",
			},
			Run:    oldRecords,
			Always: true,
		},
		{
			Name: "deaths are believed without a question",
			Change: mutation.Change{
				File: "state.go",
				Old:  "\tswitch known.State {\n\tcase StateAlive:\n\t\tn.verifyNode(known, update.Incarnation)",
				New:  "\tswitch known.State {\n\tcase StateAlive, StateSuspect:\n\t\tn.markDeadOrLeft(known, StateDead, update.Incarnation)",
			},
			Also: []mutation.Change{
				{
					File: "state.go",
					Old:  "\tcase StateSuspect:\n\t\tknown.suspicion.useMinTimeout()\n",
					New:  "",
				},
			},
			Run: isolation,
		},
		{
			Name: "others are blamed after a freeze",
			Change: mutation.Change{
				File: "awareness.go",
				Old:  "if late <= n.options.ProbeTimeout {",
				New:  "if true {",
			},
			Run: freezes,
		},
		{
			Name: "helpers are not asked",
			Change: mutation.Change{
				File: "indirect.go",
				Old:  "\tpending.indirectAt = never\n\thelpers",
				New:  "\tpending.indirectAt = never\n\tif true { return }\n\thelpers",
			},
			Run: oneWayCuts,
		},
		{
			Name: "datagrams have no bound",
			Change: mutation.Change{
				File: "send.go",
				Old:  "budget := MaxDatagramBytes - envelopeSize(&message) - len(message.Payload)",
				New:  "budget := 100 * MaxDatagramBytes",
			},
			Run: crowds,
		},
		{
			Name: "the gone are not forgotten",
			Change: mutation.Change{
				File: "tombstone.go",
				Old:  "if n.now-e.stateChange < n.options.TombstoneTimeout {",
				New:  "if true {",
			},
			Run: longDeaths,
		},
		{
			Name: "neither the gone nor seeds are called again",
			Change: mutation.Change{
				File: "tombstone.go",
				Old:  "|| len(n.prober.tombstones) == 0 {",
				New:  "|| true {",
			},
			Also: []mutation.Change{
				{
					File: "join.go",
					Old:  "func (n *Node) probeUnknownSeeds() {\n",
					New:  "func (n *Node) probeUnknownSeeds() {\n\tif true { return }\n",
				},
			},
			Run: cutsThatHeal,
		},
		{
			Name: "seeds are not tried sooner while a node is young",
			Change: mutation.Change{
				File: "join.go",
				Old:  "return n.jittered(initialSeedProbeInterval)",
				New:  "return n.jittered(n.options.PushPullInterval)",
			},
			Run: "^TestAllKnowEachOtherSoonAfterAColdStart$",
		},
		{
			Name: "lists that differ are not reconciled",
			Change: mutation.Change{
				File: "pushpull.go",
				Old:  "func (n *Node) schedulePushPull(address string) {\n",
				New:  "func (n *Node) schedulePushPull(address string) {\n\tif n.pushPull.joined { return }\n",
			},
			Run: crowds,
		},
	})
}

package membership

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// Patterns of the scenarios that detect the mutants.
const (
	refutations      = "^TestScenarios$/given_a_healthy_member"
	staleRecords     = "^TestScenarios$/given_a_new_process"
	isolation        = "^TestScenarios$/given_an_isolated_member"
	freezes          = "^TestScenarios$/given_a_pending_probe"
	oneWayPartitions = "^TestScenarios$/given_a_one-way_partition"
	largeFleets      = "^TestScenarios$/given_a_hundred_members"
	reaping          = "^TestScenarios$/given_a_dead_member"
	healedPartitions = "^TestScenarios$/given_two_halves"
)

// detectionMutants break the failure detector: which members are probed, and which are considered dead.
var detectionMutants = []mutation.Mutant{
	{
		Name:   "controllers probe replicas only in the round",
		Change: mutation.Change{File: "probe.go", Old: "	n.probeReplicas()\n", New: ""},
		Run:    "^TestControllers_MemberWithReplicasDies_SuspectItWithinTheBound$",
	},
	{
		Name: "suspicions are not refuted",
		Change: mutation.Change{
			File: "state.go",
			Old:  "if n.self.State == StateLeft || update.Incarnation < n.self.Incarnation {",
			New:  "if true {",
		},
		Run: refutations,
	},
	{
		Name: "records of older incarnations are accepted",
		Change: mutation.Change{
			File: "state.go",
			Old:  "case update.Incarnation > known.Incarnation:",
			New:  "case true:",
		},
		Run:    staleRecords,
		Always: true,
	},
	{
		Name: "deaths are believed without verification",
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
		Name: "others are suspected after a freeze",
		Change: mutation.Change{
			File: "awareness.go",
			Old:  "if late <= n.options.ProbeTimeout {",
			New:  "if true {",
		},
		Run: freezes,
	},
	{
		Name: "no indirect probes are sent",
		Change: mutation.Change{
			File: "indirect.go",
			Old:  "\tpending.indirectAt = never\n\thelpers",
			New:  "\tpending.indirectAt = never\n\tif true { return }\n\thelpers",
		},
		Run: oneWayPartitions,
	},
}

// disseminationMutants break what members know of each other: datagrams, tombstones, seeds and the reconciliation of tables.
var disseminationMutants = []mutation.Mutant{
	{
		Name: "datagrams are not bounded",
		Change: mutation.Change{
			File: "send.go",
			Old:  "budget := MaxDatagramBytes - envelopeSize(&message) - len(message.Payload)",
			New:  "budget := 100 * MaxDatagramBytes",
		},
		Run: largeFleets,
	},
	{
		Name: "tombstones are not reaped",
		Change: mutation.Change{
			File: "tombstone.go",
			Old:  "if n.now-e.stateChange < n.options.TombstoneTimeout {",
			New:  "if true {",
		},
		Run: reaping,
	},
	{
		Name: "neither dead members nor seeds are probed again",
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
		Run: healedPartitions,
	},
	{
		Name: "seeds are not probed sooner after a start",
		Change: mutation.Change{
			File: "join.go",
			Old:  "return n.jittered(initialSeedProbeInterval)",
			New:  "return n.jittered(n.options.PushPullInterval)",
		},
		Run: "^TestFleet_ColdStartWithDifferentSeeds_MeetsWithinTheBound$",
	},
	{
		Name: "tables that differ are not reconciled",
		Change: mutation.Change{
			File: "pushpull.go",
			Old:  "func (n *Node) schedulePushPull(address string) {\n",
			New:  "func (n *Node) schedulePushPull(address string) {\n\tif n.joiner.joined { return }\n",
		},
		Run: largeFleets,
	},
}

func TestMutants_AreDetected(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(detectionMutants, disseminationMutants))
}

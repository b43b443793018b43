package controller

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// storedShards returns a placement with each field set.
func storedShards() []view.ShardPlacement {
	return []view.ShardPlacement{{
		Initial:  []view.Replica{{ID: "s-1", Node: "storage-1", Address: "10.0.1.1:7002", Zone: "zone-1"}},
		Replicas: []view.Replica{{ID: "s-2", Node: "storage-2", Address: "10.0.1.2:7002", Zone: "zone-2"}},
	}}
}

// storedCommands returns log entries, one of each kind, with each field set, by the names of their golden files.
func storedCommands() map[string]Command {
	return map[string]Command{
		"configure": {Configuration: &configuration.Proposal{Base: 3, Number: 8, Raw: json.RawMessage(`{"number":8,"x":"content"}`)}},
		"place":     {Placement: &PlacementProposal{BaseIndex: 11, DecommissionsIndex: 12, Shards: storedShards()}},
		"rollout": {Rollout: &rollout.Proposal{Service: "a", Target: "v2", DurationMs: 60000, ProposedAtMs: 1764676800123, DedupExpiredIndex: 14,
			TrafficShare: 0.04, InitialAllowance: 2.5}},
		"seen":   {ObservedVersion: &rollout.ObservedVersion{Service: "a", Version: "v1"}},
		"decide": {RolloutDecision: &rollout.Decision{Service: "a", Target: "v2", ProposalIndex: 15, State: rollout.Reverted}},
		"retire": {Decommission: &decommission.Proposal{Store: decommission.Store{Node: "storage-1", ID: "s-1"},
			RunningStores: []decommission.Store{{Node: "storage-2", ID: "s-2"}}, MinRemaining: 3, AtMs: 1764676801234, DedupExpiredIndex: 16}},
		"retired": {DecommissionDecision: &decommission.Decision{Node: "storage-1", IDs: []string{"s-1", "s-9"}, PlacementIndex: 17}},
	}
}

// storedFile reads a golden file, without the newline at its end.
func storedFile(t *testing.T, name string) string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSuffix(string(raw), "\n")
}

// TestStoredFormat_ReadsEntriesOfEarlierVersions decodes log entries of earlier versions and encodes them to the same bytes.
func TestStoredFormat_ReadsEntriesOfEarlierVersions(t *testing.T) {
	for name, want := range storedCommands() {
		t.Run(name, func(t *testing.T) {
			golden := storedFile(t, "entry-"+name)
			read, err := decodeCommand(json.RawMessage(golden))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, read); diff != "" {
				t.Errorf("entry (-want +read):\n%s", diff)
			}
			written, err := want.EncodeJSON()
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(golden, string(written)); diff != "" {
				t.Errorf("bytes (-golden +written):\n%s", diff)
			}
		})
	}
}

// storedMachine returns a state machine with something in each part of its snapshot.
func storedMachine(t *testing.T) *StateMachine {
	t.Helper()
	machine := NewStateMachine(func() {})
	commands := storedCommands()
	active, running := rollout.Proposal{Service: "b", Target: "v7", DurationMs: 9000, ProposedAtMs: 1764676802345, TrafficShare: 0.05, InitialAllowance: 1}, *commands["retire"].Decommission
	running.Store = decommission.Store{Node: "storage-3", ID: "s-3"}
	running.RunningStores = []decommission.Store{{Node: "storage-4", ID: "s-4"}, {Node: "storage-5", ID: "s-5"}, {Node: "storage-6", ID: "s-6"}}
	for _, entry := range []struct {
		index   uint64
		command Command
	}{
		{1, Command{Configuration: &configuration.Proposal{Number: 3, Raw: json.RawMessage(`{"number":3}`)}}},
		{2, commands["configure"]},
		{3, Command{Configuration: &configuration.Proposal{Base: 20, Number: 21, Raw: json.RawMessage(`{"number":21}`)}}},
		{4, commands["seen"]},
		{15, commands["rollout"]},
		{16, commands["decide"]},
		{17, Command{Rollout: &active}},
		{18, Command{Decommission: &running}},
		{19, Command{Placement: &PlacementProposal{DecommissionsIndex: 18, Shards: storedShards()}}},
		{20, Command{DecommissionDecision: &decommission.Decision{Node: "storage-3", IDs: []string{"s-8"}, PlacementIndex: 19}}},
	} {
		raw, err := entry.command.EncodeJSON()
		if err != nil {
			t.Fatal(err)
		}
		machine.Apply(entry.index, raw)
	}
	return machine
}

// TestStoredFormat_ReadsSnapshotsOfEarlierVersions restores a snapshot of an earlier version and encodes it to the same bytes.
func TestStoredFormat_ReadsSnapshotsOfEarlierVersions(t *testing.T) {
	golden := storedFile(t, "snapshot")
	restored := NewStateMachine(func() {})
	if err := restored.Restore(json.RawMessage(golden)); err != nil {
		t.Fatal(err)
	}
	for name, machine := range map[string]*StateMachine{"restored": restored, "applied": storedMachine(t)} {
		written, err := machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(golden, string(written)); diff != "" {
			t.Errorf("%s: bytes (-golden +written):\n%s", name, diff)
		}
		if diff := cmp.Diff(storedMachine(t).configuration.Snapshot(), machine.configuration.Snapshot()); diff != "" {
			t.Errorf("%s: configuration (-want +read):\n%s", name, diff)
		}
		if diff := cmp.Diff(storedMachine(t).rollouts.Snapshot(), machine.rollouts.Snapshot()); diff != "" {
			t.Errorf("%s: roll-outs (-want +read):\n%s", name, diff)
		}
		if diff := cmp.Diff(storedMachine(t).decommissions.Snapshot(), machine.decommissions.Snapshot()); diff != "" {
			t.Errorf("%s: decommissioning (-want +read):\n%s", name, diff)
		}
		if diff := cmp.Diff(storedMachine(t).Placement(), machine.Placement()); diff != "" {
			t.Errorf("%s: placement (-want +read):\n%s", name, diff)
		}
	}
}

// TestWireFormat_StatsOfProxies checks the encoding of a proxy's stats of one version on one route.
func TestWireFormat_StatsOfProxies(t *testing.T) {
	golden := storedFile(t, "tally")
	want := rollout.Stats{Sent: 9, Good: 5, Bad: 2}
	want.LatencyBuckets[0], want.LatencyBuckets[rollout.LatencyBucketCount-1] = 4, 1
	var read rollout.Stats
	if err := json.Unmarshal([]byte(golden), &read); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, read); diff != "" {
		t.Errorf("stats (-want +read):\n%s", diff)
	}
	written, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(golden, string(written)); diff != "" {
		t.Errorf("bytes (-golden +written):\n%s", diff)
	}
}

// TestWireFormat_BodiesOfTheControlAPI checks the encoding of the bodies of requests and responses.
func TestWireFormat_BodiesOfTheControlAPI(t *testing.T) {
	for want, body := range map[string]any{
		`{"service":"a","target":"v2","overS":1.5}`:     rolloutRequest{Service: "a", Target: "v2", OverS: 1.5},
		`{"state":"reverted","target":"v2"}`:            rolloutStatus{State: rollout.Reverted, Target: "v2"},
		`{"state":"in_service","target":"v2"}`:          rolloutStatus{State: rollout.InService, Target: "v2"},
		`{"state":"finished","target":"v2"}`:            rolloutStatus{State: rollout.Finished, Target: "v2"},
		`{"overS":60}`:                                  decommissionRequest{OverS: 60},
		`{"state":"in_service"}`:                        decommissionStatus{State: decommission.InService},
		`{"state":"finished"}`:                          decommissionStatus{State: decommission.Finished},
		`{"error":"the platform didn't answer: \"x\""}`: errorBody{Error: `the platform didn't answer: "x"`},
	} {
		written, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, string(written)); diff != "" {
			t.Errorf("body (-want +written):\n%s", diff)
		}
	}
}

package wire_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/model"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
	"mastusher/internal/tools/filler"
)

const formatFile = "testdata/bodies.jsonl"

var updateFormat = flag.Bool("update-format", false, "write the stored bodies anew; only for a format that is meant to change")

// formatBodies are the message bodies that processes exchange, the sections of the view, and the operator's configuration. The stored file
// has a line for each.
var formatBodies = []any{
	&wire.BeginTurnRequest{}, &wire.BeginTurnResponse{}, &wire.EndTurnRequest{}, &wire.ChainRequest{}, &wire.ChainResponse{},
	&wire.FetchRequest{}, &wire.FetchResponse{}, &wire.ShardMembersRequest{}, &wire.ShardMembersResponse{},
	&wire.EndpointsRequest{}, &wire.EndpointsResponse{}, &wire.ProxiesRequest{}, &wire.ProxiesResponse{}, &wire.VersionStatsReport{},
	&view.Update{}, &view.Config{}, &view.EndpointList{}, &view.RolloutList{}, &view.Placement{},
	&model.Configuration{},
}

// storedBodies returns the lines of the stored file.
func storedBodies(t *testing.T) [][]byte {
	t.Helper()
	data, err := os.ReadFile(formatFile)
	if err != nil {
		t.Fatal(err)
	}
	var lines [][]byte
	for scanner := bufio.NewScanner(bytes.NewReader(data)); scanner.Scan(); {
		lines = append(lines, bytes.Clone(scanner.Bytes()))
	}
	if len(lines) != len(formatBodies) {
		t.Fatalf("the file has %d stored bodies, want %d", len(lines), len(formatBodies))
	}
	return lines
}

// TestBodyFormat_WritesTheBytesOfEarlierVersions encodes each body with encoding/json, and with its own method if it has one, and compares
// the result with the stored bytes.
func TestBodyFormat_WritesTheBytesOfEarlierVersions(t *testing.T) {
	if *updateFormat {
		var stored []byte
		for _, body := range formatBodies {
			stored = append(append(stored, encode(t, filler.New(body))...), '\n')
		}
		if err := os.WriteFile(formatFile, stored, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for i, stored := range storedBodies(t) {
		t.Run(fmt.Sprintf("%T", formatBodies[i]), func(t *testing.T) {
			body := filler.New(formatBodies[i])
			if text := cmp.Diff(string(stored), string(encode(t, body))); text != "" {
				t.Error(text)
			}
			if own, ok := body.(interface {
				AppendJSON(buffer []byte) ([]byte, error)
			}); ok {
				written, err := own.AppendJSON(nil)
				if text := cmp.Diff(string(stored), string(written)); text != "" || err != nil {
					t.Errorf("AppendJSON: error %v\n%s", err, text)
				}
			}
			if config, ok := body.(*view.Config); ok {
				if text := cmp.Diff(string(stored), string(config.JSON())); text != "" {
					t.Errorf("JSON:\n%s", text)
				}
			}
		})
	}
}

func encode(t *testing.T, body any) []byte {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestBodyFormat_ReadsBodiesOfEarlierVersions decodes each stored body and compares all fields.
func TestBodyFormat_ReadsBodiesOfEarlierVersions(t *testing.T) {
	for i, stored := range storedBodies(t) {
		t.Run(fmt.Sprintf("%T", formatBodies[i]), func(t *testing.T) {
			read := reflect.New(reflect.TypeOf(formatBodies[i]).Elem()).Interface()
			if err := json.Unmarshal(stored, read); err != nil {
				t.Fatal(err)
			}
			if text := cmp.Diff(filler.New(formatBodies[i]), read); text != "" {
				t.Error(text)
			}
		})
	}
}

// TestBodyFormat_ReportWithoutHistory_IsReadAndWrittenAlike decodes the stored report of versions that kept no history of a roll-out's
// answers, and encodes it again.
func TestBodyFormat_ReportWithoutHistory_IsReadAndWrittenAlike(t *testing.T) {
	stored, err := os.ReadFile("testdata/report-without-history.json")
	if err != nil {
		t.Fatal(err)
	}
	var read wire.VersionStatsReport
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	if text := cmp.Diff(string(bytes.TrimSpace(stored)), string(encode(t, read))); text != "" {
		t.Error(text)
	}
	for i := range read.Versions {
		if history := read.Versions[i].History; history != nil {
			t.Errorf("version %d has the history %v, want none", i, history)
		}
	}
}

// TestBodyFormat_BeginWithoutTimeLeft_IsReadAndWrittenAlike decodes the stored request of versions that didn't tell the time that a turn has
// left, and encodes it again.
func TestBodyFormat_BeginWithoutTimeLeft_IsReadAndWrittenAlike(t *testing.T) {
	stored, err := os.ReadFile("testdata/begin-without-time-left.json")
	if err != nil {
		t.Fatal(err)
	}
	var read wire.BeginTurnRequest
	if err := json.Unmarshal(stored, &read); err != nil {
		t.Fatal(err)
	}
	if text := cmp.Diff(string(bytes.TrimSpace(stored)), string(encode(t, read))); text != "" {
		t.Error(text)
	}
	if read.Turn.TimeLeftMs != 0 || len(read.Turn.Input) == 0 || len(read.CachedChains) == 0 {
		t.Errorf("read %+v", read)
	}
}

// TestMethodFormat_NamesAndPorts_AreThoseOfEarlierVersions checks the method names and port offsets with which processes of different
// versions call each other.
func TestMethodFormat_NamesAndPorts_AreThoseOfEarlierVersions(t *testing.T) {
	names := []string{wire.MethodReplica, wire.MethodBeginTurn, wire.MethodEndTurn, wire.MethodChain, wire.MethodFetch, wire.MethodFeed,
		wire.MethodMembers, wire.MethodShardMembers, wire.MethodEndpoints, wire.MethodProxies, wire.MethodVersionStats, wire.KindNotLeader}
	want := []string{"replica", "turn.begin", "turn.end", "turn.chain", "view.fetch", "view.feed",
		"members.sync", "shard.members", "endpoints", "proxies", "rollout.tallies", "not_owner"}
	if diff := cmp.Diff(want, names); diff != "" {
		t.Errorf("names (-want +got):\n%s", diff)
	}
	ports := []wire.PortOffset{wire.ControllerPort, wire.AgentPort, wire.StorePort}
	if diff := cmp.Diff([]wire.PortOffset{0, 1, 2}, ports); diff != "" {
		t.Errorf("ports (-want +got):\n%s", diff)
	}
}

package programclient

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mastusher/internal/tier/program"
	"mastusher/internal/tier/wire"
)

// exchanged lists the bodies that proxies and stores exchange about turns and shards, with all fields set and with none, and the file
// that holds each body as an earlier version wrote it.
var exchanged = []struct {
	file  string
	value any
	empty func() any
}{
	{"begin-request.json", &wire.BeginTurnRequest{
		Shard: 3,
		Turn: program.BeginTurn{
			Turn: "turn 2", Program: "program", Budget: 1000, MaxTokens: 100, Remembered: true, Previous: "turn 1", KeepForS: 1.5,
			Input: []byte("input\xff"), Imported: []byte("chain\xfe"), AtMs: 1_700_000_000_000,
		},
		CachedChains: []wire.CachedChain{{Bytes: 5, Digest: wire.DigestOf([]byte("chain"))}},
	}, func() any { return &wire.BeginTurnRequest{} }},
	{"begin-answer.json", &wire.BeginTurnResponse{Result: program.Result{Verdict: program.Accepted, Chain: []byte("rest\xff")}, CachedIndex: 1},
		func() any { return &wire.BeginTurnResponse{} }},
	{"begin-refused.json", &wire.BeginTurnResponse{Result: program.Result{Verdict: program.BudgetExceeded}}, func() any { return &wire.BeginTurnResponse{} }},
	{"end-request.json", &wire.EndTurnRequest{
		Shard: 3, Turn: program.EndTurn{Turn: "turn 2", Complete: true, Tokens: 80, Output: []byte("output\xff"), AtMs: 1_700_000_000_001},
	}, func() any { return &wire.EndTurnRequest{} }},
	{"end-answer.json", &program.Result{Verdict: program.UnknownTurn}, func() any { return &program.Result{} }},
	{"chain-request.json", &wire.ChainRequest{Shard: 3, Turn: "turn 1"}, func() any { return &wire.ChainRequest{} }},
	{"chain-answer.json", &wire.ChainResponse{Found: true, Chain: []byte("chain\xfe")}, func() any { return &wire.ChainResponse{} }},
	{"members-answer.json", &wire.ShardMembersResponse{Shards: []wire.ShardMembers{
		{Shard: 3, Term: 7, Placement: 11, IDs: []string{"a", "b"}, CaughtUp: []string{"a"}},
	}}, func() any { return &wire.ShardMembersResponse{} }},
	{"begin-request-least.json", &wire.BeginTurnRequest{}, func() any { return &wire.BeginTurnRequest{} }},
	{"begin-answer-least.json", &wire.BeginTurnResponse{}, func() any { return &wire.BeginTurnResponse{} }},
	{"end-request-least.json", &wire.EndTurnRequest{}, func() any { return &wire.EndTurnRequest{} }},
	{"chain-request-least.json", &wire.ChainRequest{}, func() any { return &wire.ChainRequest{} }},
	{"chain-answer-least.json", &wire.ChainResponse{}, func() any { return &wire.ChainResponse{} }},
	{"members-answer-least.json", &wire.ShardMembersResponse{}, func() any { return &wire.ShardMembersResponse{} }},
}

func TestWireFormat_ReadsBodiesOfEarlierVersions(t *testing.T) {
	for _, test := range exchanged {
		t.Run(test.file, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", test.file))
			if err != nil {
				t.Fatal(err)
			}
			want := bytes.TrimSuffix(data, []byte("\n"))
			read := test.empty()
			if err = json.Unmarshal(want, read); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.value, read); diff != "" {
				t.Errorf("values (-want +read):\n%s", diff)
			}
			written, err := json.Marshal(test.value)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), string(written)); diff != "" {
				t.Errorf("bytes (-want +written):\n%s", diff)
			}
		})
	}
}

func TestWireFormat_MethodsAndErrorKindOfEarlierVersions_AreUnchanged(t *testing.T) {
	got := []string{wire.MethodBeginTurn, wire.MethodEndTurn, wire.MethodChain, wire.MethodShardMembers, wire.KindNotLeader}
	want := []string{"turn.begin", "turn.end", "turn.chain", "shard.members", "not_owner"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

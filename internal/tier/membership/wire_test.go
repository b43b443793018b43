package membership

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// wireMember is a member with every field set.
var wireMember = Member{
	Name:        "core-muscat-hall-a-0/controller",
	ID:          "00f1e2d3c4b5a697",
	Role:        Controller,
	Zone:        "muscat-hall-a",
	Address:     "10.0.0.1:7380",
	Control:     "10.0.0.1:8144",
	Incarnation: 1_764_651_362_001,
	State:       StateSuspect,
}

// wireUpdates holds an update of each state.
var wireUpdates = []Update{
	{Member: Member{Name: "storage-1/store", ID: "5", Role: Store, Zone: "b", Address: "10.1.0.1:7380", Incarnation: 6}},
	{Member: wireMember, From: "edge-2/agent", Confirmed: true},
	{Member: Member{Name: "edge-3/agent", Incarnation: 7, State: StateDead}},
	{Member: Member{Name: "edge-4/agent", Incarnation: 8, State: StateLeft}},
}

func wireMessage(kind MessageKind) Message {
	return Message{
		Kind:          kind,
		From:          "edge-2/agent",
		Incarnation:   1_764_651_362_002,
		To:            "storage-1/store",
		Sequence:      9,
		Target:        "storage-5/store",
		TargetAddress: "10.1.0.5:7380",
		Hash:          14_695_981_039_346_656_037,
		Updates:       wireUpdates,
		Payload:       json.RawMessage(`{"d":{"placement":{"epoch":1,"sequence":2}},"w":true}`),
	}
}

func wireSync(kind PushPullKind) PushPullMessage {
	return PushPullMessage{
		Kind:      kind,
		From:      wireMember,
		Digest:    []byte{1, 2, 3, 4, 5, 6, 7, 8},
		Records:   []Member{wireMember, wireUpdates[0].Member},
		Requested: []byte{9, 10, 11, 12, 13, 14, 15, 16},
	}
}

// TestWireFormat_MessagesOfEarlierVersions_ReadAndWrittenAsTheyWere compares every kind of datagram and reconciliation message with
// the bytes that an earlier version wrote, as members of both versions run side by side during an upgrade.
func TestWireFormat_MessagesOfEarlierVersions_ReadAndWrittenAsTheyWere(t *testing.T) {
	t.Parallel()
	t.Run("datagrams", func(t *testing.T) {
		var messages []Message
		for _, kind := range []MessageKind{MsgPing, MsgAck, MsgPingReq, MsgIndirectAck, MsgNack, MsgGossip} {
			messages = append(messages, wireMessage(kind))
		}
		messages = append(messages, Message{Kind: MsgPing, From: "edge-2/agent", Incarnation: 1})
		checkWire(t, "datagrams.jsonl", messages)
	})
	t.Run("reconciliations", func(t *testing.T) {
		var messages []PushPullMessage
		for _, kind := range []PushPullKind{PushPullRequest, PushPullResponse, PushPullPush} {
			messages = append(messages, wireSync(kind))
		}
		checkWire(t, "reconciliations.jsonl", messages)
	})
}

// TestWireFormat_HashesOfEarlierVersions_AsTheyWere checks that record hashes are unchanged, as members of different versions compare
// them during an upgrade.
func TestWireFormat_HashesOfEarlierVersions_AsTheyWere(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		member Member
		hash   uint64
	}{
		{"alive", wireUpdates[0].Member, 0xb4a1bb20436d0d3f},
		{"suspect", wireMember, 0xb072cc4c702ef08f},
		{"dead", wireUpdates[2].Member, 0xc41a48acd7e1993b},
		{"left", wireUpdates[3].Member, 0x34ce0854fdb96d2c},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if hash := recordHash(tc.member); hash != tc.hash {
				t.Errorf("hash %#x, want %#x", hash, tc.hash)
			}
		})
	}
}

// checkWire checks that the lines of a file in testdata decode to the messages, and that the messages encode to the lines.
func checkWire[Message any](t *testing.T, file string, messages []Message) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(content), "\n"), "\n")
	if len(lines) != len(messages) {
		t.Fatalf("%d lines in %s, want %d", len(lines), file, len(messages))
	}
	for i, message := range messages {
		var read Message
		if err := json.Unmarshal([]byte(lines[i]), &read); err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(message, read); difference != "" {
			t.Errorf("line %d read: %s", i+1, difference)
		}
		written, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if difference := cmp.Diff(lines[i], string(written)); difference != "" {
			t.Errorf("line %d written: %s", i+1, difference)
		}
	}
}

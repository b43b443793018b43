package group

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/storage/memorydisk"
)

// lastText is a state machine that keeps the text of its last command.
type lastText struct{ text string }

func (m *lastText) Apply(_ uint64, command json.RawMessage) any {
	return json.Unmarshal(command, &m.text)
}
func (m *lastText) Snapshot() (json.RawMessage, error)  { return json.Marshal(m.text) }
func (m *lastText) Restore(state json.RawMessage) error { return json.Unmarshal(state, &m.text) }
func (m *lastText) StateBytes() int64                   { return int64(len(m.text)) }

// Data that the state no longer had stayed in the log's entries and in the snapshot on disk until the log had grown by a quarter of that
// snapshot.
func TestCompact_StateHasShrunk_FreesEntriesAndSnapshot(t *testing.T) {
	const large, compactionBytes = 1 << 20, 1 << 16
	own := replica.Member{ID: "a", Address: "a:1"}
	now := time.Duration(0)
	g, err := Open(Options{Name: "g", Disk: memorydisk.New(), StateMachine: &lastText{}, Logger: log.NewNopLogger(), CompactionBytes: compactionBytes,
		Clock: func() time.Duration { return now }, Send: func(string, Envelope) {},
		Replica: replica.Options{ID: own.ID, Address: own.Address, InitialMembers: []replica.Member{own}, HeartbeatInterval: time.Second,
			ElectionTimeout: 5 * time.Second, Seed: 1}})
	if err != nil {
		t.Fatal(err)
	}
	propose := func(text string) {
		t.Helper()
		g.ProposeAsync(text, func(any, error) {})
		for range 4 {
			now += time.Second
			if _, err := g.RunOnce(); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 10 {
		now += time.Second
		if _, err := g.RunOnce(); err != nil {
			t.Fatal(err)
		}
	}
	propose(strings.Repeat("x", large))
	if stats := g.Stats(); stats.SnapshotBytes+stats.LogBytes < large {
		t.Fatalf("with the large state: %+v", stats)
	}
	propose("small")
	if stats := g.Stats(); stats.SnapshotBytes+stats.LogBytes > compactionBytes {
		t.Errorf("with the small state: %+v", stats)
	}
	// Further commands don't write the state again.
	before := g.snapshotIndex
	propose("small too")
	if g.snapshotIndex != before {
		t.Error("the small state was written again")
	}
}

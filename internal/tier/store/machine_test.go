package store

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mastusher/internal/tier/program"
)

func encode(t rapid.TB, value any) json.RawMessage {
	t.Helper()
	raw, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func beginTurn(name string) program.Command {
	return program.Command{Begin: &program.BeginTurn{Turn: name, Program: "p", Budget: 1000, MaxTokens: 10, Remembered: true, KeepForS: 60,
		Input: []byte("input of " + name), AtMs: 1_700_000_000_000}}
}

func endTurn(name string) program.Command {
	return program.Command{End: &program.EndTurn{Turn: name, Complete: true, Tokens: 3, Output: []byte("output"), AtMs: 1_700_000_000_100}}
}

func verdict(result any) program.Verdict { return result.(program.UnjoinedResult).Verdict }

func TestMachine_Apply_BothKindsOfCommand(t *testing.T) {
	m := newMachine()
	if got := verdict(m.Apply(1, encode(t, beginTurn("a")))); got != program.Accepted {
		t.Errorf("verdict of the turn: %s", got)
	}
	if got := verdict(m.Apply(2, encode(t, command{Placement: 7}))); got != program.Accepted {
		t.Errorf("verdict of the placement: %s", got)
	}
	m.Apply(3, encode(t, command{Placement: 5}))
	if got := m.placement.Load(); got != 7 {
		t.Errorf("follows placement %d, want 7, the newest", got)
	}
	for _, raw := range []string{`{}`, `{"begin":7}`, `[]`, `{"placement":-1}`} {
		if got := verdict(m.Apply(4, json.RawMessage(raw))); got == program.Accepted {
			t.Errorf("%s was accepted", raw)
		}
	}
}

// TestMachine_Snapshot_RestoresSameState checks that a machine restored from a snapshot, taken after any commands, gives the same
// snapshot and the same results. Names contain placementField, to check that a name is not mistaken for the placement.
func TestMachine_Snapshot_RestoresSameState(t *testing.T) {
	names := []string{"a", "b", `,"placement":9}`, `"placement":8`, "\\\",\"placement\":7"}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		for index := range uint64(rapid.IntRange(0, 20).Draw(t, "commands")) {
			name := rapid.SampledFrom(names).Draw(t, "turn")
			next := rapid.SampledFrom([]any{beginTurn(name), endTurn(name), command{Placement: rapid.Uint64Range(1, 1<<60).Draw(t, "placement")}}).Draw(t, "command")
			m.Apply(index+1, encode(t, next))
		}
		state, err := m.Snapshot()
		if err != nil || !json.Valid(state) {
			t.Fatalf("snapshot %s: %v", state, err)
		}
		restored := newMachine()
		if err = restored.Restore(state); err != nil {
			t.Fatal(err)
		}
		if got, want := restored.placement.Load(), m.placement.Load(); got != want {
			t.Fatalf("placement %d after the restart, want %d", got, want)
		}
		rewritten, err := restored.Snapshot()
		if err != nil || !cmp.Equal(state, rewritten) {
			t.Fatalf("snapshot after the restart (%v):\n%s", err, cmp.Diff(string(state), string(rewritten)))
		}
		for _, name := range names {
			if diff := cmp.Diff(m.Apply(99, encode(t, endTurn(name))), restored.Apply(99, encode(t, endTurn(name)))); diff != "" {
				t.Fatalf("result of ending turn %s (-before +after the restart):\n%s", name, diff)
			}
		}
	})
}

func TestMachine_CorruptSnapshot_ChangesNothing(t *testing.T) {
	m := newMachine()
	m.Apply(1, encode(t, command{Placement: 7}))
	for _, state := range []string{``, `{`, `[]`, `{"nowMs":-1,"placement":9}`} {
		t.Run(fmt.Sprintf("%q", state), func(t *testing.T) {
			if err := m.Restore(json.RawMessage(state)); err == nil {
				t.Error("the corrupt snapshot was restored without an error")
			}
			if got := m.placement.Load(); got != 7 {
				t.Errorf("follows placement %d, want 7", got)
			}
		})
	}
}

func TestMachine_SnapshotWithoutPlacement_FollowsNone(t *testing.T) {
	m := newMachine()
	m.Apply(1, encode(t, command{Placement: 7}))
	if err := m.Restore(newMachine().programs.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got := m.placement.Load(); got != 0 {
		t.Errorf("follows placement %d after restoring a snapshot without one, want 0", got)
	}
}

// restoreChunks restores a machine from chunks.
func restoreChunks(m *machine, chunks []json.RawMessage) error {
	restorer := m.BeginRestore()
	for _, chunk := range chunks {
		if err := restorer.Add(chunk); err != nil {
			return err
		}
	}
	return restorer.Finish()
}

func chunksOf(t rapid.TB, m *machine) []json.RawMessage {
	t.Helper()
	var chunks []json.RawMessage
	err := m.CaptureChunks()(func(chunk json.RawMessage) error {
		chunks = append(chunks, append(json.RawMessage(nil), chunk...))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return chunks
}

// TestMachine_Chunks_RestoreSameState checks that a machine restored from the chunks of another one has the same state, regardless of
// its own state before.
func TestMachine_Chunks_RestoreSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := newMachine(), newMachine()
		restored.Apply(1, encode(t, beginTurn("before")))
		restored.Apply(2, encode(t, command{Placement: 3}))
		for index := range uint64(rapid.IntRange(0, 20).Draw(t, "commands")) {
			name := rapid.SampledFrom([]string{"a", "b", `,"placement":9}`}).Draw(t, "turn")
			next := rapid.SampledFrom([]any{beginTurn(name), endTurn(name), command{Placement: rapid.Uint64Range(1, 1<<60).Draw(t, "placement")}}).Draw(t, "command")
			m.Apply(index+1, encode(t, next))
		}
		if err := restoreChunks(restored, chunksOf(t, m)); err != nil {
			t.Fatal(err)
		}
		want, _ := m.Snapshot()
		if got, err := restored.Snapshot(); err != nil || !cmp.Equal(want, got) {
			t.Fatalf("restored state (-want +restored), %v:\n%s", err, cmp.Diff(string(want), string(got)))
		}
	})
}

func TestMachine_CorruptChunks_AreRejected(t *testing.T) {
	m := newMachine()
	m.Apply(1, encode(t, beginTurn("a")))
	chunks := chunksOf(t, m)
	for name, corrupt := range map[string][]json.RawMessage{
		"no chunks":              nil,
		"no placement":           chunks[1:],
		"an empty first chunk":   {json.RawMessage(`{}`), chunks[1]},
		"only the placement":     chunks[:1],
		"the placement twice":    {chunks[0], chunks[0], chunks[1]},
		"first chunk isn't JSON": {json.RawMessage(`{`), chunks[1]},
	} {
		t.Run(name, func(t *testing.T) {
			if err := restoreChunks(newMachine(), corrupt); err == nil {
				t.Error("the corrupt chunks were restored without an error")
			}
		})
	}
}

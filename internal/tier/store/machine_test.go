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

func verdict(result any) program.Verdict { return result.(program.Result).Verdict }

func TestMachineTakesBothKindsOfCommand(t *testing.T) {
	m := newMachine()
	if got := verdict(m.Apply(1, encode(t, beginTurn("a")))); got != program.Accepted {
		t.Errorf("turn was %s", got)
	}
	if got := verdict(m.Apply(2, encode(t, command{Placement: 7}))); got != program.Accepted {
		t.Errorf("placement was %s", got)
	}
	m.Apply(3, encode(t, command{Placement: 5}))
	if got := m.placement.Load(); got != 7 {
		t.Errorf("follows placement %d, want the newest, 7", got)
	}
	for _, raw := range []string{`{}`, `{"begin":7}`, `[]`, `{"placement":-1}`} {
		if got := verdict(m.Apply(4, json.RawMessage(raw))); got == program.Accepted {
			t.Errorf("%s was taken", raw)
		}
	}
}

// TestSnapshotsOfMachines checks that a machine restored from its snapshot, after any commands, gives the same snapshot and
// goes on alike. Names hold what marks the placement, to show that it isn't found there.
func TestSnapshotsOfMachines(t *testing.T) {
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
		if err := restored.Restore(state); err != nil {
			t.Fatal(err)
		}
		if got, want := restored.placement.Load(), m.placement.Load(); got != want {
			t.Fatalf("placement %d after the restart, want %d", got, want)
		}
		again, err := restored.Snapshot()
		if err != nil || !cmp.Equal(state, again) {
			t.Fatalf("snapshot after the restart (%v):\n%s", err, cmp.Diff(string(state), string(again)))
		}
		for _, name := range names {
			if diff := cmp.Diff(m.Apply(99, encode(t, endTurn(name))), restored.Apply(99, encode(t, endTurn(name)))); diff != "" {
				t.Fatalf("the end of %s (-before +after the restart):\n%s", name, diff)
			}
		}
	})
}

func TestDamagedSnapshotsChangeNothing(t *testing.T) {
	m := newMachine()
	m.Apply(1, encode(t, command{Placement: 7}))
	for _, state := range []string{``, `{`, `[]`, `{"nowMs":-1,"placement":9}`} {
		t.Run(fmt.Sprintf("%q", state), func(t *testing.T) {
			if err := m.Restore(json.RawMessage(state)); err == nil {
				t.Error("no error")
			}
			if got := m.placement.Load(); got != 7 {
				t.Errorf("follows placement %d, want 7", got)
			}
		})
	}
}

func TestSnapshotWithoutPlacement(t *testing.T) {
	m := newMachine()
	m.Apply(1, encode(t, command{Placement: 7}))
	if err := m.Restore(newMachine().programs.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if got := m.placement.Load(); got != 0 {
		t.Errorf("follows placement %d of a snapshot that tells none", got)
	}
}

// restoreParts sets a machine to the parts of another one.
func restoreParts(m *machine, parts []json.RawMessage) error {
	restorer := m.BeginRestore()
	for _, part := range parts {
		if err := restorer.Add(part); err != nil {
			return err
		}
	}
	return restorer.Finish()
}

func partsOf(t rapid.TB, m *machine) []json.RawMessage {
	t.Helper()
	var parts []json.RawMessage
	err := m.WriteChunks(func(part json.RawMessage) error {
		parts = append(parts, append(json.RawMessage(nil), part...))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return parts
}

// TestMachinesAreRestoredFromParts checks that a machine that is set to another's parts holds what that does, whatever it
// held before.
func TestMachinesAreRestoredFromParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, restored := newMachine(), newMachine()
		restored.Apply(1, encode(t, beginTurn("before")))
		restored.Apply(2, encode(t, command{Placement: 3}))
		for index := range uint64(rapid.IntRange(0, 20).Draw(t, "commands")) {
			name := rapid.SampledFrom([]string{"a", "b", `,"placement":9}`}).Draw(t, "turn")
			next := rapid.SampledFrom([]any{beginTurn(name), endTurn(name), command{Placement: rapid.Uint64Range(1, 1<<60).Draw(t, "placement")}}).Draw(t, "command")
			m.Apply(index+1, encode(t, next))
		}
		if err := restoreParts(restored, partsOf(t, m)); err != nil {
			t.Fatal(err)
		}
		want, _ := m.Snapshot()
		if got, err := restored.Snapshot(); err != nil || !cmp.Equal(want, got) {
			t.Fatalf("(-want +restored) %v:\n%s", err, cmp.Diff(string(want), string(got)))
		}
	})
}

func TestDamagedPartsAreRefused(t *testing.T) {
	m := newMachine()
	m.Apply(1, encode(t, beginTurn("a")))
	parts := partsOf(t, m)
	for name, spoilt := range map[string][]json.RawMessage{
		"none":                 nil,
		"no placement":         parts[1:],
		"an empty first part":  {json.RawMessage(`{}`), parts[1]},
		"the placement alone":  parts[:1],
		"the placement twice":  {parts[0], parts[0], parts[1]},
		"the first is no JSON": {json.RawMessage(`{`), parts[1]},
	} {
		t.Run(name, func(t *testing.T) {
			if err := restoreParts(newMachine(), spoilt); err == nil {
				t.Error("no error")
			}
		})
	}
}

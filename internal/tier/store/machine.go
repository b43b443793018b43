package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"strconv"
	"sync/atomic"

	"mastusher/internal/tier/group"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/storage"
)

// command is one entry of a shard's log: a command for a program, or the placement that the group follows from then on.
type command struct {
	program.Command
	Placement uint64 `json:"placement,omitempty"` // index of the placement
}

// EncodeJSON implements group.JSONEncoder, for both kinds of entry.
func (c command) EncodeJSON() (json.RawMessage, error) {
	if c.Placement == 0 {
		return program.EncodeCommand(c.Command)
	}
	return json.Marshal(c)
}

// machine is the state machine of a shard: its programs, and the index of the newest placement that the group follows, so that a new
// leader never returns to an older placement. It implements group.ChunkedStateMachine, group.StateSizer and group.Replayer.
type machine struct {
	programs  *program.Machine
	placement atomic.Uint64                    // index of the placement; also read by goroutines other than the group's
	idleness  atomic.Pointer[program.Idleness] // of programs after the last entry; also read by other goroutines
}

func newMachine() *machine { return &machine{programs: program.New()} }

// Apply implements group.StateMachine. It returns a program.UnjoinedResult.
func (m *machine) Apply(_ uint64, raw json.RawMessage) any {
	defer m.recordIdleness()
	applied, err := m.decode(raw)
	switch {
	case err != nil:
		return program.UnjoinedResult{Verdict: program.UnknownTurn}
	case applied.Placement > 0:
		return program.UnjoinedResult{Verdict: program.Accepted}
	}
	return m.programs.ApplyUnjoined(applied.Command)
}

// StateBytes implements group.StateSizer.
func (m *machine) StateBytes() int64 { return m.programs.Stats().Bytes }

// Replay implements group.Replayer. Unlike Apply, it does not assemble the chain.
func (m *machine) Replay(_ uint64, raw json.RawMessage) {
	defer m.recordIdleness()
	if applied, err := m.decode(raw); err == nil && applied.Placement == 0 {
		m.programs.Replay(applied.Command)
	}
}

// decode decodes an entry, and applies it if it contains a placement.
func (m *machine) decode(raw json.RawMessage) (command, error) {
	var applied command
	if err := json.Unmarshal(raw, &applied); err != nil {
		return command{}, err
	}
	if applied.Placement > 0 {
		m.placement.Store(max(m.placement.Load(), applied.Placement))
	}
	return applied, nil
}

// placementField is the start of the field that Snapshot adds. It cannot occur inside a string, where quotes are escaped.
const placementField = `,"placement":`

// Snapshot implements group.StateMachine. The index of the placement is appended as a field to the programs' snapshot, so that the
// snapshot is not copied.
func (m *machine) Snapshot() (json.RawMessage, error) {
	state := m.programs.Snapshot()
	state = append(state[:len(state)-1], placementField...)
	state = strconv.AppendUint(state, m.placement.Load(), 10)
	return append(state, '}'), nil
}

// Restore implements group.StateMachine.
func (m *machine) Restore(state json.RawMessage) error {
	if err := m.programs.Restore(state); err != nil {
		return err
	}
	m.placement.Store(placementIndexIn(state))
	m.recordIdleness()
	return nil
}

// placementChunk is the first chunk of a snapshot; the programs' chunks follow it.
type placementChunk struct {
	Placement *uint64 `json:"placement"`
}

// CaptureChunks implements group.ChunkedStateMachine.
func (m *machine) CaptureChunks() storage.ChunkSource {
	placement := m.placement.Load()
	programs := m.programs.Capture()
	return func(write func(chunk json.RawMessage) error) error {
		first, err := json.Marshal(placementChunk{Placement: &placement})
		if err != nil {
			return err
		}
		if err := write(first); err != nil {
			return err
		}
		return programs.WriteChunks(func(chunk []byte) error { return write(chunk) })
	}
}

// BeginRestore implements group.ChunkedStateMachine. It drops the old state immediately, so that memory never holds two states.
func (m *machine) BeginRestore() group.Restorer {
	*m.programs = *program.New()
	return &restorer{machine: m, programs: m.programs.BeginRestore()}
}

// errNoPlacement rejects a series of chunks whose first one is not a placementChunk.
var errNoPlacement = errors.New("first chunk of a shard's snapshot has no placement index")

// restorer replaces a machine's state by that in the chunks of a snapshot.
type restorer struct {
	machine   *machine
	placement *uint64 // nil until the first chunk is added
	programs  *program.Restorer
}

// Add implements group.Restorer.
func (r *restorer) Add(chunk json.RawMessage) error {
	if r.placement != nil {
		return r.programs.Add(chunk)
	}
	var first placementChunk
	if err := json.Unmarshal(chunk, &first); err != nil {
		return err
	}
	if first.Placement == nil {
		return errNoPlacement
	}
	r.placement = first.Placement
	return nil
}

// Finish implements group.Restorer.
func (r *restorer) Finish() error {
	if err := r.programs.Finish(); err != nil {
		return err
	}
	r.machine.placement.Store(*r.placement)
	r.machine.recordIdleness()
	return nil
}

// placementIndexIn returns the index in the field that Snapshot adds, or 0 if there is none.
func placementIndexIn(state []byte) uint64 {
	at := bytes.LastIndex(state, []byte(placementField))
	if at < 0 {
		return 0
	}
	index, err := strconv.ParseUint(string(bytes.TrimRight(state[at+len(placementField):], "} \n")), 10, 64)
	if err != nil {
		return 0
	}
	return index
}

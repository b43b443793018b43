package group

import (
	"bytes"
	"encoding/json"
	"errors"

	"mastusher/internal/tier/storage"
)

// StateMachine is the state that a group replicates. Its methods are called by the member's goroutine only.
type StateMachine interface {
	// Apply executes a command and returns the result for its proposer. It must be deterministic.
	Apply(index uint64, command json.RawMessage) any
	// Snapshot returns the complete state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the complete state.
	Restore(state json.RawMessage) error
}

// Replayer is a StateMachine that can execute a command with less work if its result isn't needed.
type Replayer interface {
	// Replay executes a command as Apply does, without a result.
	Replay(index uint64, command json.RawMessage)
}

// StateSizer is a StateMachine that can report the size of its state in memory.
type StateSizer interface {
	// StateBytes is called by the member's goroutine only.
	StateBytes() int64
}

// ChunkedStateMachine is a StateMachine whose state may be large. It is read and restored in chunks of bounded size, so that no
// complete copy of it is needed in memory.
type ChunkedStateMachine interface {
	StateMachine
	// CaptureChunks returns a source of the current state's chunks, in order. The source may run on another goroutine while the
	// machine applies more commands, whose effects it must not include.
	CaptureChunks() storage.ChunkSource
	// BeginRestore begins to replace the state. The machine may drop its current state at once.
	BeginRestore() Restorer
}

// Restorer replaces a machine's state, chunk by chunk. After an error the machine's state is undefined.
type Restorer interface {
	// Add adds the next chunk. It must not retain the slice.
	Add(chunk json.RawMessage) error
	// Finish completes the state after the last chunk.
	Finish() error
}

// asChunked returns the machine if it is a ChunkedStateMachine, and otherwise wraps it so that its state is a single chunk.
func asChunked(machine StateMachine) ChunkedStateMachine {
	if chunked, ok := machine.(ChunkedStateMachine); ok {
		return chunked
	}
	return singleChunkMachine{machine}
}

// singleChunkMachine adapts a StateMachine to ChunkedStateMachine, with its complete state in one chunk.
type singleChunkMachine struct{ StateMachine }

// CaptureChunks implements ChunkedStateMachine.
func (m singleChunkMachine) CaptureChunks() storage.ChunkSource {
	state, err := m.Snapshot()
	return func(write func(chunk json.RawMessage) error) error {
		if err != nil {
			return err
		}
		return write(state)
	}
}

// BeginRestore implements ChunkedStateMachine.
func (m singleChunkMachine) BeginRestore() Restorer {
	return &singleChunkRestorer{machine: m.StateMachine}
}

// singleChunkRestorer restores a StateMachine from a single chunk once Finish is called.
type singleChunkRestorer struct {
	machine StateMachine
	state   json.RawMessage
}

// errNotSingleChunk rejects a state of no or several chunks for a StateMachine that is not chunked.
var errNotSingleChunk = errors.New("the state must come in a single chunk")

// Add implements Restorer.
func (r *singleChunkRestorer) Add(chunk json.RawMessage) error {
	if r.state != nil {
		return errNotSingleChunk
	}
	r.state = bytes.Clone(chunk)
	return nil
}

// Finish implements Restorer.
func (r *singleChunkRestorer) Finish() error {
	if r.state == nil {
		return errNotSingleChunk
	}
	return r.machine.Restore(r.state)
}

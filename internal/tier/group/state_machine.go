package group

import (
	"bytes"
	"encoding/json"
	"errors"

	"mastusher/internal/tier/storage"
)

// StateMachine is the state that a group replicates. Its methods are called by the member's goroutine only.
type StateMachine interface {
	// Apply folds the command in and returns the result for its proposer. It must be deterministic.
	Apply(index uint64, command json.RawMessage) any
	// Snapshot returns the complete state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the complete state.
	Restore(state json.RawMessage) error
}

// Replayer is a StateMachine that saves work where nobody waits for a command's result.
type Replayer interface {
	// Replay folds the command in as Apply does, without a result.
	Replay(index uint64, command json.RawMessage)
}

// StateSizer is a StateMachine that knows how many bytes its contents take.
type StateSizer interface {
	// StateBytes is called by the group's goroutine only.
	StateBytes() int64
}

// ChunkedStateMachine is a StateMachine whose state may be large: it is read and replaced in chunks of bounded size, so that
// no copy of it is in memory.
type ChunkedStateMachine interface {
	StateMachine
	// CaptureChunks returns the state as it is now, as a source that hands it over in chunks, in their order. The source may run on
	// another goroutine, while the machine applies further commands: it must not see them.
	CaptureChunks() storage.ChunkSource
	// BeginRestore begins to replace the state. What the machine holds may be dropped at once.
	BeginRestore() Restorer
}

// Restorer replaces a machine's state by the one that comes in chunks. After an error the machine's state is undefined.
type Restorer interface {
	// Add takes the next chunk in, and must not keep its memory.
	Add(chunk json.RawMessage) error
	// Finish ends the series of chunks.
	Finish() error
}

// asChunked returns a machine as one in chunks; a plain StateMachine has a single chunk.
func asChunked(machine StateMachine) ChunkedStateMachine {
	if large, ok := machine.(ChunkedStateMachine); ok {
		return large
	}
	return singleChunkMachine{machine}
}

// singleChunkMachine has its complete state in one chunk.
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

// singleChunkRestorer keeps the only chunk until the end.
type singleChunkRestorer struct {
	machine StateMachine
	state   json.RawMessage
}

// errNotOneChunk rejects a state of several chunks, or of none, for a plain StateMachine.
var errNotOneChunk = errors.New("the state must come in a single chunk")

// Add implements Restorer.
func (r *singleChunkRestorer) Add(chunk json.RawMessage) error {
	if r.state != nil {
		return errNotOneChunk
	}
	r.state = bytes.Clone(chunk)
	return nil
}

// Finish implements Restorer.
func (r *singleChunkRestorer) Finish() error {
	if r.state == nil {
		return errNotOneChunk
	}
	return r.machine.Restore(r.state)
}

package group

import (
	"bytes"
	"encoding/json"
	"errors"
)

// StateMachine is the state that a group agrees on. Its methods are called by the group's goroutine only.
type StateMachine interface {
	// Apply folds the command in and returns what its proposer is told.
	Apply(index uint64, command json.RawMessage) any
	// Snapshot returns the whole state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the whole state.
	Restore(state json.RawMessage) error
}

// Replayer is a StateMachine that saves work where nobody waits for a command's result.
type Replayer interface {
	// Replay folds the command in as Apply does.
	Replay(index uint64, command json.RawMessage)
}

// ChunkedStateMachine is a StateMachine whose state may be large: it is taken and set in parts of bounded size, so that no copy of it is
// in memory.
type ChunkedStateMachine interface {
	StateMachine
	// WriteChunks hands the state over in parts, in their order. A part is valid until write returns. An error of write ends it and
	// is returned.
	WriteChunks(write func(part json.RawMessage) error) error
	// BeginRestore begins to replace the state. What the machine holds may go at once.
	BeginRestore() Restorer
}

// Restorer sets a machine to the state that comes in parts. After an error the machine's state is of no use.
type Restorer interface {
	// Add takes the next part in, and keeps nothing of it.
	Add(part json.RawMessage) error
	// Finish ends the series of parts.
	Finish() error
}

// inParts returns a machine as one in parts; a small one has a single part.
func inParts(machine StateMachine) ChunkedStateMachine {
	if large, ok := machine.(ChunkedStateMachine); ok {
		return large
	}
	return smallMachine{machine}
}

// smallMachine has its whole state in one part.
type smallMachine struct{ StateMachine }

// WriteChunks implements ChunkedStateMachine.
func (m smallMachine) WriteChunks(write func(part json.RawMessage) error) error {
	state, err := m.Snapshot()
	if err != nil {
		return err
	}
	return write(state)
}

// BeginRestore implements ChunkedStateMachine.
func (m smallMachine) BeginRestore() Restorer { return &smallRestorer{machine: m.StateMachine} }

// smallRestorer holds the only part until the end.
type smallRestorer struct {
	machine StateMachine
	state   json.RawMessage
}

var errNotOnePart = errors.New("the state of a small machine comes in one part")

// Add implements Restorer.
func (r *smallRestorer) Add(part json.RawMessage) error {
	if r.state != nil {
		return errNotOnePart
	}
	r.state = bytes.Clone(part)
	return nil
}

// Finish implements Restorer.
func (r *smallRestorer) Finish() error {
	if r.state == nil {
		return errNotOnePart
	}
	return r.machine.Restore(r.state)
}

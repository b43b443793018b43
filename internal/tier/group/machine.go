package group

import (
	"bytes"
	"encoding/json"
	"errors"
)

// Machine is the state that a group agrees on. Its methods are called by the group's goroutine only.
type Machine interface {
	// Apply folds the command in and returns what its proposer is told.
	Apply(index uint64, command json.RawMessage) any
	// Snapshot returns the whole state.
	Snapshot() (json.RawMessage, error)
	// Restore replaces the whole state.
	Restore(state json.RawMessage) error
}

// Replayer is a Machine that saves work where nobody waits for a command's result.
type Replayer interface {
	// Replay folds the command in as Apply does.
	Replay(index uint64, command json.RawMessage)
}

// PartsMachine is a Machine whose state may be large: it is taken and set in parts of bounded size, so that no copy of it is
// in memory.
type PartsMachine interface {
	Machine
	// Parts hands the state over in parts, in their order. A part is valid until write returns. An error of write ends it and
	// is returned.
	Parts(write func(part json.RawMessage) error) error
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
func inParts(machine Machine) PartsMachine {
	if large, ok := machine.(PartsMachine); ok {
		return large
	}
	return smallMachine{machine}
}

// smallMachine has its whole state in one part.
type smallMachine struct{ Machine }

// Parts implements PartsMachine.
func (m smallMachine) Parts(write func(part json.RawMessage) error) error {
	state, err := m.Snapshot()
	if err != nil {
		return err
	}
	return write(state)
}

// BeginRestore implements PartsMachine.
func (m smallMachine) BeginRestore() Restorer { return &smallRestorer{machine: m.Machine} }

// smallRestorer holds the only part until the end.
type smallRestorer struct {
	machine Machine
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

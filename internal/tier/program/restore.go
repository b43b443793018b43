package program

import (
	"bytes"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrCorruptSnapshot is wrapped by the errors of Restore and Restorer if the bytes aren't a snapshot as a machine writes it: they
// are damaged or incomplete, or chunks of different snapshots. A retry doesn't help; a snapshot of another replica may.
var ErrCorruptSnapshot = errors.New("corrupt snapshot of programs")

// corrupt returns an error that wraps ErrCorruptSnapshot and gives the reason.
func corrupt(format string, values ...any) error {
	return fmt.Errorf("%w: %s", ErrCorruptSnapshot, fmt.Sprintf(format, values...))
}

// Restore replaces the machine's state by a snapshot in one chunk. After an error the machine's state is unchanged.
func (m *Machine) Restore(data []byte) error {
	restorer := m.BeginRestore()
	if err := restorer.Add(data); err != nil {
		return err
	}
	return restorer.Finish()
}

// Restorer builds a machine's new state from the chunks of a snapshot, which must be added in the order in which WriteChunks wrote
// them. The machine's state is unchanged until Finish succeeds. After an error the Restorer must not be used any more.
type Restorer struct {
	machine     *Machine
	restored    *Machine
	nextIndex   int                // index of the chunk to add next
	expectsMore bool               // the last chunk hasn't been added
	turns       []*turn            // restored so far, in the order of the chunks
	reserved    map[*program]int64 // sum of the reservations of each program's turns in flight
	pending     *pendingTurn       // the turn read last, whose content may continue in the next chunk; nil: none
}

// pendingTurn is a turn that isn't restored yet, as its content may continue in the next chunk.
type pendingTurn struct {
	record                turnRecord
	moreInput, moreOutput [][]byte // fragments to append to the record's input and output
}

// BeginRestore starts to replace the machine's state by a snapshot.
func (m *Machine) BeginRestore() *Restorer {
	return &Restorer{machine: m, restored: New(), reserved: make(map[*program]int64), expectsMore: true}
}

// Add adds the next chunk. It doesn't retain data.
func (r *Restorer) Add(data []byte) error {
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("%w: invalid JSON: %w", ErrCorruptSnapshot, err)
	}
	if !r.expectsMore || chunk.Index != r.nextIndex {
		return corrupt("got chunk %d, want chunk %d", chunk.Index, r.nextIndex)
	}
	if err := r.restoreClock(chunk); err != nil {
		return err
	}
	r.nextIndex, r.expectsMore = r.nextIndex+1, chunk.HasNext
	if err := r.continuePending(chunk.Continuation); err != nil {
		return err
	}
	for _, record := range chunk.Programs {
		if err := r.restored.restoreProgram(record); err != nil {
			return fmt.Errorf("restoring program %q: %w", record.Name, err)
		}
	}
	for _, record := range chunk.Turns {
		if err := r.restorePending(); err != nil {
			return err
		}
		r.pending = &pendingTurn{record: record}
	}
	return nil
}

// Finish replaces the machine's state by that of all chunks together.
func (r *Restorer) Finish() error {
	if r.expectsMore {
		return corrupt("series of chunks ends before chunk %d", r.nextIndex)
	}
	if err := r.restorePending(); err != nil {
		return err
	}
	for p, sum := range r.reserved {
		if sum > p.reserved {
			return corrupt("a program has fewer tokens reserved than its turns in flight together")
		}
	}
	for _, t := range r.turns {
		if !t.isReferenced() {
			return corrupt("turn %q has no expiry and no turn continues it", t.name)
		}
	}
	heap.Init(&r.restored.expiries)
	*r.machine = *r.restored
	return nil
}

// restoreClock restores the clock from the first chunk, and checks that the others have the same clock.
func (r *Restorer) restoreClock(chunk Chunk) error {
	if r.nextIndex == 0 {
		return r.restored.restoreClock(chunk)
	}
	if (r.restored.clock != clock{nowMs: chunk.NowMs, lastCommandMs: chunk.LastCommandMs}) {
		return corrupt("clock differs from that of the first chunk: the chunk belongs to another snapshot")
	}
	return nil
}

// continuePending appends a fragment to the content of the pending turn.
func (r *Restorer) continuePending(fragment *contentRecord) error {
	if fragment == nil {
		return nil
	}
	if r.pending == nil {
		return corrupt("content fragment without a turn before it")
	}
	r.pending.moreInput = append(r.pending.moreInput, fragment.Input)
	r.pending.moreOutput = append(r.pending.moreOutput, fragment.Output)
	return nil
}

// restorePending restores the pending turn, all of whose content has been added.
func (r *Restorer) restorePending() error {
	if r.pending == nil {
		return nil
	}
	record := r.pending.record
	record.Input = joinContent(record.Input, r.pending.moreInput)
	record.Output = joinContent(record.Output, r.pending.moreOutput)
	r.pending = nil
	t, err := r.restored.restoreTurn(record, r.turns)
	if err != nil {
		return fmt.Errorf("restoring turn %q: %w", record.Turn, err)
	}
	r.turns = append(r.turns, t)
	if t.program != nil {
		r.reserved[t.program] = addTokens(r.reserved[t.program], t.reservedTokens)
		t.program.inFlight++
	}
	return nil
}

// joinContent appends fragments to the first part of an input or output.
func joinContent(first []byte, fragments [][]byte) []byte {
	if len(fragments) == 0 {
		return first
	}
	return bytes.Join(append([][]byte{first}, fragments...), nil)
}

package program

import (
	"bytes"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrCorruptSnapshot is wrapped by the errors of Restore and Restorer where the bytes are no snapshot that a machine wrote:
// damaged, incomplete, or chunks of different snapshots. Retrying doesn't help; another replica's snapshot may.
var ErrCorruptSnapshot = errors.New("corrupt snapshot of programs")

// corrupt returns an ErrCorruptSnapshot with its reason.
func corrupt(format string, values ...any) error {
	return fmt.Errorf("%w: %s", ErrCorruptSnapshot, fmt.Sprintf(format, values...))
}

// Restore replaces the machine's state by a snapshot in one chunk. On an error the machine stays as it was.
func (m *Machine) Restore(data []byte) error {
	restorer := m.BeginRestore()
	if err := restorer.Add(data); err != nil {
		return err
	}
	return restorer.Finish()
}

// Restorer builds a machine's new state from the chunks of a snapshot, which must come in the order of WriteChunks. The
// machine stays as it is until Finish succeeds. After an error the Restorer must not be used any more.
type Restorer struct {
	machine     *Machine
	restored    *Machine
	nextIndex   int     // of the next chunk
	expectsMore bool    // the last chunk hasn't come
	turns       []*turn // restored so far, in the order of the chunks
	reserved    map[*program]int64
	pending     *pendingTurn // the last one, whose content may continue in the next chunk; nil: none
}

// pendingTurn is a turn whose content may continue in the next chunk.
type pendingTurn struct {
	record                turnRecord
	moreInput, moreOutput [][]byte // fragments to append
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
		return corrupt("chunk %d in place of chunk %d", chunk.Index, r.nextIndex)
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
		return corrupt("chunk %d is missing", r.nextIndex)
	}
	if err := r.restorePending(); err != nil {
		return err
	}
	for p, sum := range r.reserved {
		if sum > p.reserved {
			return corrupt("program has less reserved than its turns in flight")
		}
	}
	for _, t := range r.turns {
		if !t.isReferenced() {
			return corrupt("turn %q is referenced by nothing", t.name)
		}
	}
	heap.Init(&r.restored.expiries)
	*r.machine = *r.restored
	return nil
}

// restoreClock restores the clock from the first chunk; the others must agree with it.
func (r *Restorer) restoreClock(chunk Chunk) error {
	if r.nextIndex == 0 {
		return r.restored.restoreClock(chunk)
	}
	if (r.restored.clock != clock{nowMs: chunk.NowMs, lastCommandMs: chunk.LastCommandMs}) {
		return corrupt("chunk of another snapshot")
	}
	return nil
}

// continuePending appends a fragment to the content of the last turn.
func (r *Restorer) continuePending(fragment *contentRecord) error {
	if fragment == nil {
		return nil
	}
	if r.pending == nil {
		return corrupt("content without a turn before it")
	}
	r.pending.moreInput = append(r.pending.moreInput, fragment.Input)
	r.pending.moreOutput = append(r.pending.moreOutput, fragment.Output)
	return nil
}

// restorePending restores the last turn, once all of its content has come.
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

// joinContent appends fragments to the first one.
func joinContent(first []byte, fragments [][]byte) []byte {
	if len(fragments) == 0 {
		return first
	}
	return bytes.Join(append([][]byte{first}, fragments...), nil)
}

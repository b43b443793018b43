package program

import (
	"bytes"
	"container/heap"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Restore sets the machine to the state of a snapshot in one part. When that is damaged, it gives an error and leaves the
// machine as it was.
func (m *Machine) Restore(data []byte) error {
	restorer := m.BeginRestore()
	if err := restorer.Add(data); err != nil {
		return err
	}
	return restorer.Finish()
}

// Restorer builds a machine's new state up from the parts of a snapshot, in their order. The machine stays as it is until
// Finish succeeds.
type Restorer struct {
	machine  *Machine
	restored *Machine
	next     int     // number of the part that is to come
	goesOn   bool    // one is to come
	turns    []*turn // so far, in the order of the parts
	reserved map[*program]int64
	pending  *pendingTurn // the last one, of which more may come; nil: none
}

// pendingTurn is a turn whose contents may go on in the next part.
type pendingTurn struct {
	record          turnRecord
	inputs, outputs [][]byte // pieces that have come since
}

// BeginRestore begins to set the machine to the state of a snapshot.
func (m *Machine) BeginRestore() *Restorer {
	return &Restorer{machine: m, restored: New(), reserved: make(map[*program]int64), goesOn: true}
}

// Add takes the next part in. It keeps nothing of data.
func (r *Restorer) Add(data []byte) error {
	var held Image
	if err := json.Unmarshal(data, &held); err != nil {
		return trace.Wrap(err, "snapshot of programs is no JSON of its form")
	}
	if !r.goesOn || held.Number != r.next {
		return trace.BadParameter("part %d comes in place of part %d", held.Number, r.next)
	}
	if err := r.takeClock(held); err != nil {
		return trace.Wrap(err)
	}
	r.next, r.goesOn = r.next+1, held.GoesOn
	if held.More != nil {
		if r.pending == nil {
			return trace.BadParameter("contents without a turn before them")
		}
		r.pending.inputs = append(r.pending.inputs, held.More.Input)
		r.pending.outputs = append(r.pending.outputs, held.More.Output)
	}
	for _, record := range held.Programs {
		if err := r.restored.restoreProgram(record); err != nil {
			return trace.Wrap(err, "program %q", record.Name)
		}
	}
	for _, record := range held.Turns {
		if err := r.takePending(); err != nil {
			return err
		}
		r.pending = &pendingTurn{record: record}
	}
	return nil
}

// Finish sets the machine to the state that all parts together hold.
func (r *Restorer) Finish() error {
	if r.goesOn {
		return trace.BadParameter("part %d is missing", r.next)
	}
	if err := r.takePending(); err != nil {
		return err
	}
	for p, sum := range r.reserved {
		if sum > p.reserved {
			return trace.BadParameter("a program has less reserved than its turns under way")
		}
	}
	for _, t := range r.turns {
		if !t.kept() {
			return trace.BadParameter("turn %q is held by nothing", t.name)
		}
	}
	heap.Init(&r.restored.queue)
	*r.machine = *r.restored
	return nil
}

// takeClock takes the clock over from the first part; the others have to agree with it.
func (r *Restorer) takeClock(held Image) error {
	if r.next == 0 {
		return r.restored.restoreClock(held)
	}
	if (r.restored.clock != clock{nowMs: held.NowMs, heardMs: held.HeardMs}) {
		return trace.BadParameter("a part of another snapshot")
	}
	return nil
}

// takePending takes in the turn of which all contents have come.
func (r *Restorer) takePending() error {
	if r.pending == nil {
		return nil
	}
	record := r.pending.record
	record.Input = joined(record.Input, r.pending.inputs)
	record.Output = joined(record.Output, r.pending.outputs)
	r.pending = nil
	t, err := r.restored.restoreTurn(record, r.turns)
	if err != nil {
		return trace.Wrap(err, "turn %q", record.Turn)
	}
	r.turns = append(r.turns, t)
	if t.program != nil {
		r.reserved[t.program] = addTokens(r.reserved[t.program], t.most)
		t.program.open++
	}
	return nil
}

// joined puts pieces behind what came first.
func joined(first []byte, pieces [][]byte) []byte {
	if len(pieces) == 0 {
		return first
	}
	return bytes.Join(append([][]byte{first}, pieces...), nil)
}

func (m *Machine) restoreClock(held Image) error {
	if !isTime(held.NowMs) || !isTime(held.HeardMs) {
		return trace.BadParameter("the clock is out of range")
	}
	if (held.NowMs == 0) != (held.HeardMs == 0) {
		return trace.BadParameter("the clock is half set")
	}
	m.clock = clock{nowMs: held.NowMs, heardMs: held.HeardMs}
	return nil
}

func (m *Machine) restoreProgram(record programRecord) error {
	if m.programs.byName[record.Name] != nil {
		return trace.BadParameter("named twice")
	}
	if record.Name == "" || record.Limit < 0 || record.Spent < 0 || record.Reserved < 0 {
		return trace.BadParameter("no name or a negative number")
	}
	if !isTime(record.UsedMs) || record.UsedMs > m.clock.nowMs {
		return trace.BadParameter("last used in the future")
	}
	if newest := m.programs.newest; newest != nil && newest.usedMs > record.UsedMs {
		return trace.BadParameter("out of order")
	}
	p := m.programs.use(record.Name, record.UsedMs)
	p.limit = record.Limit
	p.spent = record.Spent
	p.reserved = record.Reserved
	return nil
}

// restoreTurn takes one turn in; earlier are those that went before it.
func (m *Machine) restoreTurn(record turnRecord, earlier []*turn) (*turn, error) {
	if err := checkTurn(record, len(earlier)); err != nil {
		return nil, err
	}
	if record.DueMs > m.clock.nowMs+maxKeepMs+clockMarginMs {
		return nil, trace.BadParameter("it is kept for longer than anything is")
	}
	t := &turn{
		name:       record.Turn,
		input:      record.Input,
		output:     record.Output,
		most:       record.Most,
		keepMs:     record.KeepMs,
		dueMs:      record.DueMs,
		state:      record.State,
		remembered: record.Remembered,
		index:      unqueued,
	}
	if record.Program != "" {
		t.program = m.programs.byName[record.Program]
		if t.program == nil {
			return nil, trace.BadParameter("its program isn't there")
		}
	}
	if record.Parent > 0 {
		t.parent = earlier[record.Parent-1]
		if !isWhole(t.parent) {
			return nil, trace.BadParameter("it goes on from a turn that isn't whole")
		}
		t.parent.children++
	}
	if isWhole(t) {
		t.seal()
	}
	return t, m.insert(t)
}

// insert puts a restored turn into the tables. The queue is put in order afterwards.
func (m *Machine) insert(t *turn) error {
	table := m.turns
	if t.state == imported {
		table = m.roots
	}
	if table[t.name] != nil {
		return trace.BadParameter("named twice")
	}
	table[t.name] = t
	m.sequence++
	t.sequence = m.sequence
	m.bytes += t.bytes()
	if t.dueMs > 0 {
		m.queue.Push(t)
	}
	return nil
}

// checkTurn finds what no machine would have written about a turn by itself.
func checkTurn(record turnRecord, earlier int) error {
	isRoot := record.State == imported
	switch {
	case record.Turn == "" && !isRoot:
		return trace.BadParameter("no name")
	case record.State > imported:
		return trace.BadParameter("no such state")
	case record.Parent < 0 || record.Parent > earlier:
		return trace.BadParameter("its parent doesn't go before it")
	case record.Most < 0 || record.KeepMs < 0 || record.KeepMs > maxKeepMs || record.DueMs < 0:
		return trace.BadParameter("a number out of range")
	case record.State != underWay && (record.Program != "" || record.Most != 0):
		return trace.BadParameter("it has ended and holds a reservation")
	case record.State != whole && len(record.Output) > 0:
		return trace.BadParameter("it has an output and isn't whole")
	case record.State == settled && len(record.Input) > 0:
		return trace.BadParameter("it doesn't count and has an input")
	case isRoot && (record.Parent != 0 || record.DueMs != 0):
		return trace.BadParameter("an imported chain has a parent or a time")
	case !isRoot && record.State != whole && record.DueMs == 0:
		return trace.BadParameter("no time")
	case !record.Remembered && !isRoot && (record.State == whole || record.Parent != 0 || len(record.Input) > 0):
		return trace.BadParameter("it isn't remembered and has a chain")
	}
	return nil
}

// isTime tells whether a number may be a time of the machine's clock.
func isTime(ms int64) bool {
	return ms >= 0 && ms <= 2*maxTimeMs
}

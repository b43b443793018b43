package program

import (
	"container/heap"
	"encoding/json"

	"github.com/gravitational/trace"
)

// Restore sets the machine to the state of a snapshot. When that is damaged, it gives an error and leaves the machine as
// it was.
func (m *Machine) Restore(data []byte) error {
	var held Image
	if err := json.Unmarshal(data, &held); err != nil {
		return trace.Wrap(err, "snapshot of programs is no JSON of its form")
	}
	restored := New()
	if err := restored.restoreClock(held); err != nil {
		return trace.Wrap(err)
	}
	for _, record := range held.Programs {
		if err := restored.restoreProgram(record); err != nil {
			return trace.Wrap(err, "program %q", record.Name)
		}
	}
	if err := restored.restoreTurns(held.Turns); err != nil {
		return trace.Wrap(err)
	}
	*m = *restored
	return nil
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

func (m *Machine) restoreTurns(records []turnRecord) error {
	turns := make([]*turn, 0, len(records))
	reserved := make(map[*program]int64)
	for _, record := range records {
		t, err := m.restoreTurn(record, turns)
		if err != nil {
			return trace.Wrap(err, "turn %q", record.Turn)
		}
		turns = append(turns, t)
		if t.program != nil {
			reserved[t.program] = addTokens(reserved[t.program], t.most)
			t.program.open++
		}
	}
	for p, sum := range reserved {
		if sum > p.reserved {
			return trace.BadParameter("a program has less reserved than its turns under way")
		}
	}
	for _, t := range turns {
		if !t.kept() {
			return trace.BadParameter("turn %q is held by nothing", t.name)
		}
	}
	heap.Init(&m.queue)
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

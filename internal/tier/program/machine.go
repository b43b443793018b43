package program

import "unicode/utf8"

// Machine is the state of one shard. It keeps the byte slices of the commands that it is given, so nobody may change them
// afterwards. It is not safe for use by several goroutines.
type Machine struct {
	clock    clock
	turns    map[string]*turn
	roots    map[string]*turn // imported chains by the name of their last turn
	programs programs
	queue    queue
	sequence uint64
	bytes    int64
}

// Stats tells what a machine holds.
type Stats struct {
	Turns    int   // also ended ones that can still be named
	Programs int   // budget records
	Bytes    int64 // inputs, outputs and imported chains
}

// New gives a machine without any state.
func New() *Machine {
	return &Machine{
		turns:    map[string]*turn{},
		roots:    map[string]*turn{},
		programs: programs{byName: map[string]*program{}},
	}
}

// Apply carries a committed command out and gives its result.
func (m *Machine) Apply(command Command) Result {
	verdict, previous := m.apply(command)
	return Result{Verdict: verdict, Chain: previous.chain()}
}

// Replay carries a committed command out whose result nobody waits for: at followers, and when a log is read again. It
// saves putting the chain together.
func (m *Machine) Replay(command Command) {
	m.apply(command)
}

// apply gives, for a turn that was taken, the one that it goes on from; nil: none.
func (m *Machine) apply(command Command) (verdict Verdict, previous *turn) {
	verdict = Unknown
	switch {
	case command.Begin != nil:
		m.clock.hear(command.Begin.AtMs)
		verdict, previous = m.begin(command.Begin)
	case command.End != nil:
		m.clock.hear(command.End.AtMs)
		verdict = m.end(command.End)
	}
	m.expire()
	return verdict, previous
}

// Chain gives the inputs and outputs of a whole turn and of all before it, oldest first, for a shard that imports them.
func (m *Machine) Chain(name string) ([]byte, bool) {
	t := m.findWhole(validName(name))
	if t == nil {
		return nil, false
	}
	return t.chain(), true
}

// Stats tells what the machine holds.
func (m *Machine) Stats() Stats {
	return Stats{
		Turns:    len(m.turns),
		Programs: len(m.programs.byName),
		Bytes:    m.bytes,
	}
}

func (m *Machine) begin(begin *BeginTurn) (verdict Verdict, previous *turn) {
	name := validName(begin.Turn)
	if name == "" {
		return Unknown, nil
	}
	if t := m.turns[name]; t != nil {
		return Taken, t.parent
	}
	most := max(begin.Most, 0)
	p := m.budgetOf(begin)
	if p != nil && !fits(p, most) {
		return BudgetSpent, nil
	}
	parent, found := m.parentOf(begin)
	if !found {
		return NoSuchTurn, nil
	}
	t := &turn{
		name:       name,
		parent:     parent,
		program:    p,
		most:       most,
		remembered: begin.Remembered,
		index:      unqueued,
	}
	if t.remembered {
		t.input = begin.Input
		t.keepMs = keepMs(begin.KeepForS)
	}
	if p != nil {
		p.reserve(most)
	}
	m.add(t)
	return Taken, parent
}

func (m *Machine) end(end *EndTurn) Verdict {
	t := m.turns[validName(end.Turn)]
	if t == nil {
		return Unknown
	}
	if t.state != underWay {
		return repeatedEnd(t, end)
	}
	if t.program != nil {
		t.program.settle(t.most, charge(end.Tokens, t.most))
		m.programs.touch(t.program, m.clock.nowMs)
	}
	t.program = nil
	t.most = 0
	m.bytes -= t.bytes()
	t.state = settledState(t, end.Whole)
	if t.state == whole {
		t.output = end.Output
		t.seal()
	} else {
		t.input = nil
	}
	m.bytes += t.bytes()
	m.schedule(t)
	return Taken
}

// repeatedEnd answers the end of a turn that has ended before.
func repeatedEnd(t *turn, end *EndTurn) Verdict {
	if end.Whole && t.remembered && t.state != whole {
		return Unknown
	}
	return Taken
}

// budgetOf gives the record of the program that a turn belongs to, with the budget told taken in; nil: it has none.
func (m *Machine) budgetOf(begin *BeginTurn) *program {
	if begin.Program == "" {
		return nil
	}
	p := m.programs.use(validName(begin.Program), m.clock.nowMs)
	p.limit = leastTold(p.limit, begin.Budget)
	return p
}

// parentOf gives the turn that a new one goes on from; nil when there is none. An imported chain is taken in unless the
// turn is held already.
func (m *Machine) parentOf(begin *BeginTurn) (parent *turn, found bool) {
	if !begin.Remembered || begin.Previous == "" {
		return nil, true
	}
	name := validName(begin.Previous)
	if parent = m.findWhole(name); parent != nil {
		return parent, true
	}
	if len(begin.Imported) == 0 {
		return nil, false
	}
	return m.addRoot(name, begin.Imported), true
}

// findWhole gives a turn that others may go on from, or nil.
func (m *Machine) findWhole(name string) *turn {
	if t := m.turns[name]; t != nil && isWhole(t) {
		return t
	}
	return m.roots[name]
}

// add takes a new turn in.
func (m *Machine) add(t *turn) {
	if t.parent != nil {
		t.parent.children++
	}
	m.sequence++
	t.sequence = m.sequence
	m.turns[t.name] = t
	m.bytes += t.bytes()
	m.schedule(t)
}

// addRoot takes an imported chain in. It stays as long as a turn needs it.
func (m *Machine) addRoot(name string, chain []byte) *turn {
	m.sequence++
	root := &turn{
		name:     name,
		input:    chain,
		state:    imported,
		sequence: m.sequence,
		index:    unqueued,
	}
	root.seal()
	m.roots[name] = root
	m.bytes += root.bytes()
	return root
}

// schedule sets when a turn may go, counted from now.
func (m *Machine) schedule(t *turn) {
	m.queue.schedule(t, m.clock.nowMs+holdMs(t))
}

// expire lets go what is due, a bounded part of it at each command.
func (m *Machine) expire() {
	for range turnsPerCommand {
		t := m.queue.takeDue(m.clock.nowMs)
		if t == nil {
			break
		}
		m.abandon(t)
		m.release(t)
	}
	for range programsPerCommand {
		if !m.programs.dropDue(m.clock.nowMs) {
			break
		}
	}
}

// abandon gives up waiting for the end of a turn. What it reserved stays so, as it may have been handed on.
func (m *Machine) abandon(t *turn) {
	if t.program == nil {
		return
	}
	t.program.open--
	m.programs.touch(t.program, m.clock.nowMs)
	t.program = nil
}

// release drops a turn that nothing needs any more, and then those before it that were kept for it alone.
func (m *Machine) release(t *turn) {
	for t != nil && !t.kept() {
		if t.state == imported {
			delete(m.roots, t.name)
		} else {
			delete(m.turns, t.name)
		}
		m.bytes -= t.bytes()
		parent := t.parent
		if parent != nil {
			parent.children--
		}
		t = parent
	}
}

// validName gives a name as it is after a way through JSON, so that all replicas and all snapshots have the same one.
func validName(name string) string {
	if utf8.ValidString(name) {
		return name
	}
	return string([]rune(name))
}

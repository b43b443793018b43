package program

// begin handles a BeginTurn. A rejected turn changes nothing but the program's limit and its last use.
func (m *Machine) begin(begin *BeginTurn) (verdict Verdict, previous *turn) {
	name := validName(begin.Turn)
	if name == "" {
		return UnknownTurn, nil
	}
	if t := m.turns[name]; t != nil {
		return Accepted, t.parent // a duplicate
	}
	maxTokens := max(begin.MaxTokens, 0)
	p := m.programOf(begin)
	if p != nil && !fitsBudget(p, maxTokens) {
		return BudgetExceeded, nil
	}
	parent, found := m.parentOf(begin)
	if !found {
		return TurnNotFound, nil
	}
	t := &turn{
		name:           name,
		parent:         parent,
		program:        p,
		reservedTokens: maxTokens,
		remembered:     begin.Remembered,
		queueIndex:     notQueued,
	}
	if t.remembered {
		t.input = begin.Input
		t.retainMs = retainMs(begin.KeepForS)
	}
	if p != nil {
		p.reserve(maxTokens)
	}
	m.add(t)
	return Accepted, parent
}

// programOf returns the record of the program that a turn belongs to, its limit tightened by the turn's budget; nil: none.
func (m *Machine) programOf(begin *BeginTurn) *program {
	if begin.Program == "" {
		return nil
	}
	p := m.programs.getOrCreate(validName(begin.Program), m.clock.nowMs)
	p.limit = tighterLimit(p.limit, begin.Budget)
	return p
}

// parentOf returns the turn that a new one continues; nil: it continues none. An imported chain is stored unless the shard
// has the turn already.
func (m *Machine) parentOf(begin *BeginTurn) (parent *turn, found bool) {
	if !begin.Remembered || begin.Previous == "" {
		return nil, true
	}
	name := validName(begin.Previous)
	if parent = m.findComplete(name); parent != nil {
		return parent, true
	}
	if len(begin.Imported) == 0 {
		return nil, false
	}
	return m.addImported(name, begin.Imported), true
}

// findComplete returns the turn or imported chain of a name, if it can be continued, or nil.
func (m *Machine) findComplete(name string) *turn {
	if t := m.turns[name]; t != nil && t.canContinue() {
		return t
	}
	return m.imported[name]
}

// add stores a new turn.
func (m *Machine) add(t *turn) {
	if t.parent != nil {
		t.parent.children++
	}
	m.sequence++
	t.sequence = m.sequence
	m.turns[t.name] = t
	m.contentBytes += t.contentBytes()
	m.scheduleExpiry(t)
}

// addImported stores an imported chain. It isn't queued: it stays as long as a turn continues it.
func (m *Machine) addImported(name string, chain []byte) *turn {
	m.sequence++
	root := &turn{
		name:       name,
		input:      chain,
		state:      imported,
		sequence:   m.sequence,
		queueIndex: notQueued,
	}
	root.setChainBytes()
	m.imported[name] = root
	m.contentBytes += root.contentBytes()
	return root
}

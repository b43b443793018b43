package program

// begin handles a BeginTurn, and returns the turn that is continued, or nil. A rejected turn changes nothing but the limit and the
// last use of the program's budget record.
func (m *Machine) begin(begin *BeginTurn) (verdict Verdict, previous *turn) {
	name := normalizeName(begin.Turn)
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
		t.requestedRetentionMs = requestedRetentionMs(begin.KeepForS)
	}
	if p != nil {
		p.reserve(maxTokens)
	}
	m.add(t, inFlightMs(begin.TimeLeftMs)+clockMarginMs)
	return Accepted, parent
}

// programOf returns the budget record of a turn's program, or nil if the turn belongs to none. It lowers the record's limit to
// the turn's budget.
func (m *Machine) programOf(begin *BeginTurn) *program {
	if begin.Program == "" {
		return nil
	}
	p := m.programs.getOrCreate(normalizeName(begin.Program), m.clock.nowMs)
	p.limit = tighterLimit(p.limit, begin.Budget)
	return p
}

// parentOf returns the turn that a new one continues, or nil if it continues none. found is false if the turn names a previous
// one that isn't available. An imported chain is stored unless the shard has the previous turn already.
func (m *Machine) parentOf(begin *BeginTurn) (parent *turn, found bool) {
	if !begin.Remembered || begin.Previous == "" {
		return nil, true
	}
	name := normalizeName(begin.Previous)
	if parent = m.findContinuable(name); parent != nil {
		return parent, true
	}
	if len(begin.Imported) == 0 {
		return nil, false
	}
	return m.addImported(name, begin.Imported), true
}

// findContinuable returns the turn or imported chain of a name, or nil if there is none that can be continued.
func (m *Machine) findContinuable(name string) *turn {
	if t := m.turns[name]; t != nil && t.canBeContinued() {
		return t
	}
	return m.imported[name]
}

// add stores a new turn, which is retained for some time unless it ends.
func (m *Machine) add(t *turn, retentionMs int64) {
	if t.parent != nil {
		t.parent.children++
	}
	m.sequence++
	t.sequence = m.sequence
	m.turns[t.name] = t
	m.contentBytes += t.contentBytes()
	m.expiries.schedule(t, m.clock.nowMs+retentionMs)
}

// addImported stores an imported chain. The chain isn't queued for expiry: it is retained as long as a turn continues it.
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

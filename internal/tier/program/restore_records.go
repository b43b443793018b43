package program

// restoreClock sets the clock. A clock that no command has set is 0 in both fields.
func (m *Machine) restoreClock(chunk Chunk) error {
	if !isTime(chunk.NowMs) || !isTime(chunk.LastCommandMs) {
		return corrupt("clock is out of range")
	}
	if (chunk.NowMs == 0) != (chunk.LastCommandMs == 0) {
		return corrupt("clock is half set")
	}
	m.clock = clock{nowMs: chunk.NowMs, lastCommandMs: chunk.LastCommandMs}
	return nil
}

// restoreProgram adds a budget record. Records come by last use, the oldest first.
func (m *Machine) restoreProgram(record programRecord) error {
	if m.programs.byName[record.Name] != nil {
		return corrupt("duplicate name")
	}
	if record.Name == "" || record.Limit < 0 || record.Spent < 0 || record.Reserved < 0 {
		return corrupt("no name or a negative number")
	}
	if !isTime(record.LastUsedMs) || record.LastUsedMs > m.clock.nowMs {
		return corrupt("last used in the future")
	}
	if newest := m.programs.newest; newest != nil && newest.lastUsedMs > record.LastUsedMs {
		return corrupt("out of order")
	}
	p := m.programs.getOrCreate(record.Name, record.LastUsedMs)
	p.limit = record.Limit
	p.spent = record.Spent
	p.reserved = record.Reserved
	return nil
}

// restoreTurn adds a turn; earlier are those before it, among which its parent must be.
func (m *Machine) restoreTurn(record turnRecord, earlier []*turn) (*turn, error) {
	if err := checkTurn(record, len(earlier)); err != nil {
		return nil, err
	}
	if record.ExpiresAtMs > m.clock.nowMs+maxRetentionMs+clockMarginMs {
		return nil, corrupt("retained for longer than the maximum")
	}
	t := &turn{
		name:           record.Turn,
		input:          record.Input,
		output:         record.Output,
		reservedTokens: record.ReservedTokens,
		retainMs:       record.RetainMs,
		expiresAtMs:    record.ExpiresAtMs,
		state:          record.State,
		remembered:     record.Remembered,
		queueIndex:     notQueued,
	}
	if err := m.linkTurn(t, record, earlier); err != nil {
		return nil, err
	}
	return t, m.insert(t)
}

// linkTurn connects a restored turn with its program and its parent.
func (m *Machine) linkTurn(t *turn, record turnRecord, earlier []*turn) error {
	if record.Program != "" {
		t.program = m.programs.byName[record.Program]
		if t.program == nil {
			return corrupt("unknown program")
		}
	}
	if record.Parent > 0 {
		t.parent = earlier[record.Parent-1]
		if !t.parent.canContinue() {
			return corrupt("continues a turn that isn't complete")
		}
		t.parent.children++
	}
	if t.canContinue() {
		t.setChainBytes()
	}
	return nil
}

// insert adds a restored turn to the tables. The expiry queue is put in order by Restorer.Finish.
func (m *Machine) insert(t *turn) error {
	table := m.turns
	if t.state == imported {
		table = m.imported
	}
	if table[t.name] != nil {
		return corrupt("duplicate name")
	}
	table[t.name] = t
	m.sequence++
	t.sequence = m.sequence
	m.contentBytes += t.contentBytes()
	if t.expiresAtMs > 0 {
		m.expiries.Push(t)
	}
	return nil
}

// checkTurn rejects a record that no machine would have written, by its own fields.
func checkTurn(record turnRecord, earlier int) error {
	isImported := record.State == imported
	switch {
	case record.Turn == "" && !isImported:
		return corrupt("no name")
	case record.State > imported:
		return corrupt("unknown state")
	case record.Parent < 0 || record.Parent > earlier:
		return corrupt("parent doesn't precede it")
	case record.ReservedTokens < 0 || record.RetainMs < 0 || record.RetainMs > maxRetentionMs || record.ExpiresAtMs < 0:
		return corrupt("number out of range")
	case record.State != inFlight && (record.Program != "" || record.ReservedTokens != 0):
		return corrupt("ended and has a reservation")
	case record.State != complete && len(record.Output) > 0:
		return corrupt("has an output and isn't complete")
	case record.State == discarded && len(record.Input) > 0:
		return corrupt("discarded and has an input")
	case isImported && (record.Parent != 0 || record.ExpiresAtMs != 0):
		return corrupt("imported chain has a parent or an expiry")
	case !isImported && record.State != complete && record.ExpiresAtMs == 0:
		return corrupt("no expiry")
	case !record.Remembered && !isImported && (record.State == complete || record.Parent != 0 || len(record.Input) > 0):
		return corrupt("isn't remembered and has a chain")
	}
	return nil
}

// isTime reports whether a number may be a time of the machine's clock.
func isTime(ms int64) bool {
	return ms >= 0 && ms <= 2*maxTimeMs
}

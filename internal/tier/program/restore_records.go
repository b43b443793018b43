package program

// restoreClock sets the clock. Both of its fields are 0 until a command has set it.
func (m *Machine) restoreClock(chunk Chunk) error {
	if !isValidTimeMs(chunk.NowMs) || !isValidTimeMs(chunk.LastCommandMs) {
		return corrupt("time of the clock is out of range")
	}
	if (chunk.NowMs == 0) != (chunk.LastCommandMs == 0) {
		return corrupt("only one of the two times of the clock is 0")
	}
	m.clock = clock{nowMs: chunk.NowMs, lastCommandMs: chunk.LastCommandMs}
	return nil
}

// restoreProgram adds a budget record. Records must be added from the least to the most recently used.
func (m *Machine) restoreProgram(record programRecord) error {
	if m.programs.byName[record.Name] != nil {
		return corrupt("duplicate name")
	}
	if record.Name == "" || record.Limit < 0 || record.Spent < 0 || record.Reserved < 0 {
		return corrupt("name is empty or a number of tokens is negative")
	}
	if !isValidTimeMs(record.LastUsedMs) || record.LastUsedMs > m.clock.nowMs {
		return corrupt("last use is negative or later than the clock")
	}
	if newest := m.programs.newest; newest != nil && newest.lastUsedMs > record.LastUsedMs {
		return corrupt("last use is earlier than that of the program before")
	}
	p := m.programs.getOrCreate(record.Name, record.LastUsedMs)
	p.limit = record.Limit
	p.spent = record.Spent
	p.reserved = record.Reserved
	return nil
}

// restoreTurn adds a turn. earlier lists the turns before it, which must include its parent.
func (m *Machine) restoreTurn(record turnRecord, earlier []*turn) (*turn, error) {
	if err := checkTurn(record, len(earlier)); err != nil {
		return nil, err
	}
	if record.ExpiresAtMs > m.clock.nowMs+maxRetentionMs+clockMarginMs {
		return nil, corrupt("expiry is later than the maximum retention allows")
	}
	t := &turn{
		name:                 record.Turn,
		input:                record.Input,
		output:               record.Output,
		reservedTokens:       record.ReservedTokens,
		requestedRetentionMs: record.RetainMs,
		expiresAtMs:          record.ExpiresAtMs,
		state:                record.State,
		remembered:           record.Remembered,
		queueIndex:           notQueued,
	}
	if err := m.linkTurn(t, record, earlier); err != nil {
		return nil, err
	}
	return t, m.insert(t)
}

// linkTurn links a restored turn to its program and its parent.
func (m *Machine) linkTurn(t *turn, record turnRecord, earlier []*turn) error {
	if record.Program != "" {
		t.program = m.programs.byName[record.Program]
		if t.program == nil {
			return corrupt("its program is not in the snapshot")
		}
	}
	if record.Parent > 0 {
		t.parent = earlier[record.Parent-1]
		if !t.parent.canBeContinued() {
			return corrupt("continues a turn that can't be continued")
		}
		t.parent.children++
	}
	if t.canBeContinued() {
		t.setChainBytes()
	}
	return nil
}

// insert adds a restored turn to the maps and to the expiry queue, which Restorer.Finish puts in order.
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

// checkTurn rejects a record with values or combinations of fields that a machine never writes. earlier is the number of turns
// before it.
func checkTurn(record turnRecord, earlier int) error {
	isImported := record.State == imported
	switch {
	case record.Turn == "" && !isImported:
		return corrupt("name is empty")
	case record.State > imported:
		return corrupt("state has an unknown number")
	case record.Parent < 0 || record.Parent > earlier:
		return corrupt("parent doesn't precede the turn")
	case record.ReservedTokens < 0 || record.RetainMs < 0 || record.RetainMs > maxRetentionMs || record.ExpiresAtMs < 0:
		return corrupt("reservation, retention or expiry is out of range")
	case record.State != inFlight && (record.Program != "" || record.ReservedTokens != 0):
		return corrupt("an ended turn has a program or a reservation")
	case record.State != complete && len(record.Output) > 0:
		return corrupt("a turn that isn't complete has an output")
	case record.State == discarded && len(record.Input) > 0:
		return corrupt("a discarded turn has an input")
	case isImported && (record.Parent != 0 || record.ExpiresAtMs != 0):
		return corrupt("an imported chain has a parent or an expiry")
	case !isImported && record.State != complete && record.ExpiresAtMs == 0:
		return corrupt("a turn that isn't complete has no expiry")
	case !record.Remembered && !isImported && (record.State == complete || record.Parent != 0 || len(record.Input) > 0):
		return corrupt("a turn that isn't remembered is complete or has a parent or an input")
	}
	return nil
}

// isValidTimeMs reports whether a time is in the range of the machine's clock.
func isValidTimeMs(ms int64) bool {
	return ms >= 0 && ms <= 2*maxTimeMs
}

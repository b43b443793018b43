package program

// end handles an EndTurn.
func (m *Machine) end(end *EndTurn) Verdict {
	t := m.turns[normalizeName(end.Turn)]
	if t == nil {
		return UnknownTurn
	}
	if t.state != inFlight {
		return duplicateEnd(t, end)
	}
	m.commitBudget(t, end.Tokens)
	m.storeOutcome(t, end)
	m.scheduleExpiry(t)
	return Accepted
}

// duplicateEnd returns the verdict on an EndTurn of a turn that has ended before.
func duplicateEnd(t *turn, end *EndTurn) Verdict {
	if end.Complete && t.remembered && t.state != complete {
		return UnknownTurn
	}
	return Accepted
}

// commitBudget releases a turn's reservation and charges the tokens sent to its client.
func (m *Machine) commitBudget(t *turn, tokens int64) {
	if t.program != nil {
		t.program.commit(t.reservedTokens, committedTokens(tokens, t.reservedTokens))
		m.programs.touch(t.program, m.clock.nowMs)
	}
	t.program = nil
	t.reservedTokens = 0
}

// storeOutcome stores the output of a turn that can be continued, or drops the input of one that can't.
func (m *Machine) storeOutcome(t *turn, end *EndTurn) {
	m.contentBytes -= t.contentBytes()
	t.state = stateAtEnd(t, end.Complete)
	if t.state == complete {
		t.output = end.Output
		t.setChainBytes()
	} else {
		t.input = nil
	}
	m.contentBytes += t.contentBytes()
}

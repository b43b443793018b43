package program

// Bounds of the expiries that one command carries out, so that none takes long. Both exceed what one command can add, so the
// backlog shrinks.
const (
	maxTurnExpiriesPerCommand    = 8
	maxProgramExpiriesPerCommand = 4
)

// scheduleExpiry restarts a turn's retention.
func (m *Machine) scheduleExpiry(t *turn) {
	m.expiries.schedule(t, m.clock.nowMs+retentionMs(t))
}

// expireDue removes turns and budget records whose retention is over, a bounded number at each command.
func (m *Machine) expireDue() {
	for range maxTurnExpiriesPerCommand {
		t := m.expiries.popExpired(m.clock.nowMs)
		if t == nil {
			break
		}
		m.abandon(t)
		m.release(t)
	}
	for range maxProgramExpiriesPerCommand {
		if !m.programs.expireOldest(m.clock.nowMs) {
			break
		}
	}
}

// abandon gives up waiting for the end of a turn in flight. Its reservation stays in the program's record, as the tokens may
// have been sent.
func (m *Machine) abandon(t *turn) {
	if t.program == nil {
		return
	}
	t.program.inFlight--
	m.programs.touch(t.program, m.clock.nowMs)
	t.program = nil
}

// release removes a turn that nothing references any more, and then the ancestors that were retained for it alone.
func (m *Machine) release(t *turn) {
	for t != nil && !t.isReferenced() {
		if t.state == imported {
			delete(m.imported, t.name)
		} else {
			delete(m.turns, t.name)
		}
		m.contentBytes -= t.contentBytes()
		parent := t.parent
		if parent != nil {
			parent.children--
		}
		t = parent
	}
}

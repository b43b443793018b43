package program

// The most turns and budget records that expire at one command, so that none takes long. Both exceed the number that one command
// can add, so a backlog shrinks.
const (
	maxTurnExpiriesPerCommand    = 8
	maxProgramExpiriesPerCommand = 4
)

// scheduleExpiry restarts a turn's retention from now.
func (m *Machine) scheduleExpiry(t *turn) {
	m.expiries.schedule(t, m.clock.nowMs+retentionMs(t))
}

// expireDue removes turns and budget records whose retention is over, up to the bounds per command.
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

// abandon stops waiting for the end of a turn in flight. The turn's reservation stays in the program's budget record, as the
// tokens may have been sent.
func (m *Machine) abandon(t *turn) {
	if t.program == nil {
		return
	}
	t.program.inFlight--
	m.programs.touch(t.program, m.clock.nowMs)
	t.program = nil
}

// release removes a turn if nothing references it any more, and then each ancestor that was retained for it alone.
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

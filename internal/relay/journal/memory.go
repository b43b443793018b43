package journal

import (
	"time"
)

// Memory is a journal that keeps its state in memory and writes nothing. Replays and simulations use it, and set when it is
// full and when writing fails. Its zero value is empty and never fails.
type Memory struct {
	Full   func(e *Entry) bool // reports whether there is no room for a new message; nil: there always is
	Failed func() error        // the result of Flush; nil: Flush succeeds

	entries map[uint64]*Entry
	lastSeq uint64
}

// Restore adds a message that was accepted before.
func (m *Memory) Restore(e *Entry) {
	if m.entries == nil {
		m.entries = map[uint64]*Entry{}
	}
	m.lastSeq++
	e.Seq = m.lastSeq
	m.entries[e.Seq] = e
}

// Entries returns the entries in the order in which they were accepted.
func (m *Memory) Entries() []*Entry {
	return sorted(m.entries)
}

// Accept records an accepted message if there is room.
func (m *Memory) Accept(e *Entry) error {
	if m.Full != nil && m.Full(e) {
		return ErrFull
	}
	m.Restore(e)
	return nil
}

// Begin permits every attempt; see Log.Begin.
func (m *Memory) Begin([]*Entry) bool { return true }

// Schedule records that an attempt has been decided; see Log.Schedule.
func (m *Memory) Schedule(e *Entry, at time.Time, destination string) {
	e.scheduleAttempt(at, destination)
}

// EndAttempt records the outcome of an attempt; see Log.EndAttempt.
func (m *Memory) EndAttempt(e *Entry, neverRan bool) { e.endAttempt(neverRan) }

// End removes a message that has ended; see Log.End.
func (m *Memory) End(e *Entry) { delete(m.entries, e.Seq) }

// EndWithNotice keeps a message's notice until Ack; see Log.EndWithNotice.
func (m *Memory) EndWithNotice(e *Entry, n Notice) { e.NoticePending, e.Notice = true, n }

// Ack removes a message whose notice has been acknowledged; see Log.Ack.
func (m *Memory) Ack(e *Entry) { delete(m.entries, e.Seq) }

// Flush returns the result of Failed, or nil if that is not set.
func (m *Memory) Flush() error {
	if m.Failed != nil {
		return m.Failed()
	}
	return nil
}

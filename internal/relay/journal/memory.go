package journal

import (
	"time"
)

// Memory is a journal that holds its state in memory and writes nothing: for replays and simulations, which say when it
// has no room and when it can't be written. Its zero value is empty and never fails.
type Memory struct {
	Full   func(e *Entry) bool // tells whether there is no room for a new message; nil: there always is
	Failed func() error        // what becomes of a Flush; nil: it is well

	entries map[uint64]*Entry
	lastSeq uint64
}

// Restore puts a message there that was taken on before.
func (m *Memory) Restore(e *Entry) {
	if m.entries == nil {
		m.entries = map[uint64]*Entry{}
	}
	m.lastSeq++
	e.Seq = m.lastSeq
	m.entries[e.Seq] = e
}

// Entries returns the entries in the order in which they were taken on.
func (m *Memory) Entries() []*Entry {
	return sorted(m.entries)
}

// Accept notes a message that is taken on, if there is room.
func (m *Memory) Accept(e *Entry) error {
	if m.Full != nil && m.Full(e) {
		return ErrFull
	}
	m.Restore(e)
	return nil
}

// Begin permits every attempt; see Log.Begin.
func (m *Memory) Begin([]*Entry) bool { return true }

// Schedule notes an attempt that is to begin; see Log.Schedule.
func (m *Memory) Schedule(e *Entry, at time.Time, destination string) {
	e.scheduleAttempt(at, destination)
}

// EndAttempt notes the end of an attempt; see Log.EndAttempt.
func (m *Memory) EndAttempt(e *Entry, neverRan bool) { e.endAttempt(neverRan) }

// End forgets a message that has its end; see Log.End.
func (m *Memory) End(e *Entry) { delete(m.entries, e.Seq) }

// EndWithNotice keeps the notice of a message's end until Ack; see Log.EndWithNotice.
func (m *Memory) EndWithNotice(e *Entry, n Notice) { e.NoticePending, e.Notice = true, n }

// Ack forgets a message whose notice has arrived; see Log.Ack.
func (m *Memory) Ack(e *Entry) { delete(m.entries, e.Seq) }

// Flush fails as Failed says, where that is set.
func (m *Memory) Flush() error {
	if m.Failed != nil {
		return m.Failed()
	}
	return nil
}

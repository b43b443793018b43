package journal

import (
	"cmp"
	"slices"
	"time"
)

// Memory is a journal that holds its state in memory and writes nothing: for replays and simulations, which say when it
// has no room and when it can't be written. Its zero value is empty and never fails.
type Memory struct {
	Full   func(e *Entry) bool // tells whether there is no room for a new message; nil: there always is
	Failed func() error        // what becomes of a Flush; nil: it is well

	open map[uint64]*Entry
	last uint64
}

// Hold puts a message there that was taken on before.
func (m *Memory) Hold(e *Entry) {
	if m.open == nil {
		m.open = map[uint64]*Entry{}
	}
	m.last++
	e.Seq = m.last
	m.open[e.Seq] = e
}

// Entries returns what is not over, in the order in which it was taken on.
func (m *Memory) Entries() []*Entry {
	var all []*Entry
	for _, e := range m.open {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return all
}

// Take notes a message that is taken on, if there is room.
func (m *Memory) Take(e *Entry) error {
	if m.Full != nil && m.Full(e) {
		return ErrFull
	}
	m.Hold(e)
	return nil
}

// Begin, Start, Outcome, End, Owe, Ack and Flush are those of Log.
func (m *Memory) Begin([]*Entry) bool                              { return true }
func (m *Memory) Start(e *Entry, at time.Time, destination string) { e.start(at, destination) }
func (m *Memory) Outcome(e *Entry, neverRan bool)                  { e.settle(neverRan) }
func (m *Memory) End(e *Entry)                                     { delete(m.open, e.Seq) }
func (m *Memory) Owe(e *Entry, n Notice)                           { e.Owed, e.Notice = true, n }
func (m *Memory) Ack(e *Entry)                                     { delete(m.open, e.Seq) }
func (m *Memory) Flush() error {
	if m.Failed != nil {
		return m.Failed()
	}
	return nil
}

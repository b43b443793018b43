package engine

import (
	"time"

	"mastusher/internal/relay/journal"
)

// Journal is where the core writes down what must outlast it; see journal.Log. Entries are the core's and the journal's
// together: each call but Accept and Begin changes the one it is given as it says. Begin may come from any goroutine.
type Journal interface {
	Entries() []*journal.Entry
	Accept(e *journal.Entry) error
	Begin(all []*journal.Entry) bool
	Schedule(e *journal.Entry, at time.Time, destination string)
	EndAttempt(e *journal.Entry, neverRan bool)
	End(e *journal.Entry)
	EndWithNotice(e *journal.Entry, n journal.Notice)
	Ack(e *journal.Entry)
	Flush() error
}

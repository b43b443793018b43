package engine

import (
	"time"

	"mastusher/internal/relay/journal"
)

// Journal is what the core writes down to outlast the process; journal.Log is the one on disk. Entries are shared by the core and the journal: each
// call but Accept and Begin changes the entry that it is given as it says. Begin may be called from any goroutine, all else by the core's
// alone. Begin is written when it returns, all else when Flush does.
type Journal interface {
	// Entries returns the messages that have not ended, or whose notice is outstanding, in the order in which they were accepted.
	Entries() []*journal.Entry
	// Accept adds a message; journal.ErrFull: there is no room for it, and it must not be accepted.
	Accept(e *journal.Entry) error
	// Begin records that an attempt with these messages writes its first byte; false: it could not, and nothing may be written.
	Begin(all []*journal.Entry) bool
	// Schedule prepares the next attempt of a message, which Begin records.
	Schedule(e *journal.Entry, at time.Time, destination string)
	// EndAttempt ends an attempt after which the message goes on.
	EndAttempt(e *journal.Entry, neverRan bool)
	// End forgets a message.
	End(e *journal.Entry)
	// EndWithNotice ends a message whose notice is outstanding from now on.
	EndWithNotice(e *journal.Entry, n journal.Notice)
	// Ack forgets a message whose notice was accepted.
	Ack(e *journal.Entry)
	// Flush writes out what has been recorded since the last one. After an error the core answers nobody and starts no attempt.
	Flush() error
}

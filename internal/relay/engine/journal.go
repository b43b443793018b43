package engine

import (
	"time"

	"mastusher/internal/relay/journal"
)

// Journal keeps the state of messages across restarts; journal.Log keeps it on disk. The core and the journal share the entries: all
// methods except Accept and Begin update the entry that they are given. Begin may be called from any goroutine, all other methods by the
// core's goroutine only. What Begin records is written when it returns, everything else when Flush returns.
type Journal interface {
	// Entries returns the messages that have not ended or whose notice is outstanding, in the order in which they were accepted.
	Entries() []*journal.Entry
	// Accept adds a message. It returns journal.ErrFull if there is no room for it; the message must then not be accepted.
	Accept(e *journal.Entry) error
	// Begin records that an attempt with these messages is about to write its first byte; if it returns false, nothing may be written.
	Begin(all []*journal.Entry) bool
	// Schedule prepares the next attempt of a message; Begin records it.
	Schedule(e *journal.Entry, at time.Time, destination string)
	// EndAttempt ends an attempt but not its message; neverRan says that the destination has certainly not processed it.
	EndAttempt(e *journal.Entry, neverRan bool)
	// End removes a message that has ended without a notice.
	End(e *journal.Entry)
	// EndWithNotice ends a message, whose notice is then outstanding.
	EndWithNotice(e *journal.Entry, n journal.Notice)
	// Ack removes a message whose notice was accepted.
	Ack(e *journal.Entry)
	// Flush writes what has been recorded since the last Flush. If it fails, the core accepts no message and starts no attempt in that
	// turn.
	Flush() error
}

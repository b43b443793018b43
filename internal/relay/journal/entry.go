package journal

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Entry is one message that has not ended, or whose notice is outstanding, as the log has it.
type Entry struct {
	Seq           uint64 // its number in this log, given by Accept
	ID, Key       string
	Front         string // name of the front that took it on
	Destination   int    // number of the partner system
	Class         int    // by its place in the settings
	Tenant        int    // below 0: nobody's
	Deadline      time.Time
	Resubmitted   bool // its client had handed it in before
	Body          []byte
	Headers       []string // that go out with it, names and values in turn
	PolicyVersion uint64   // version of the fleet's policy under which it was taken on; 0: none
	MaxAttempts   int      // attempts that it may have by that; 0: what the settings allow

	Attempts      int       // decided so far, and once the process has ended those that were begun
	InFlight      bool      // the last of them has no outcome
	MayHaveRun    bool      // one of them may have run
	MayHaveRunAt  time.Time // when the first such began
	MayHaveRunOn  string    // the destination it went to
	LastAttemptAt time.Time // when the last attempt began, and where to
	LastAttemptOn string

	NoticePending bool // it has ended, and its client has not yet taken the notice
	Notice        Notice

	loggedAttempts int // number of the last attempt that is in the log; guarded by Log.mu
}

// Notice is how a message ended, as its client is to be told.
type Notice struct {
	Delivered  bool // for fronts that are told of deliveries too
	HandedBack bool // its client may hand it in again, after RetryAfter; otherwise it was given up
	RetryAfter time.Duration
}

// scheduleAttempt notes that an attempt has been decided.
func (e *Entry) scheduleAttempt(at time.Time, destination string) {
	e.Attempts++
	e.InFlight, e.LastAttemptAt, e.LastAttemptOn = true, at, destination
}

// endAttempt notes the outcome of the last attempt. What may have run first counts: its time bounds all repeats.
func (e *Entry) endAttempt(neverRan bool) {
	if e.InFlight = false; !neverRan && !e.MayHaveRun {
		e.MayHaveRun, e.MayHaveRunAt, e.MayHaveRunOn = true, e.LastAttemptAt, e.LastAttemptOn
	}
}

// messageReserve is what a live message is charged for in a new file beside its texts: two attempts, with the names of their
// destinations, their outcomes and its end.
const messageReserve = 384

// cost bounds the bytes that a message may come to in a new file.
func (e *Entry) cost() int64 {
	n := messageReserve + len(e.ID) + len(e.Key) + len(e.Front) + len(e.Body)
	for _, header := range e.Headers {
		n += len(header) + binary.MaxVarintLen16
	}
	return int64(n)
}

// sorted are entries in the order in which they were taken on.
func sorted(entries map[uint64]*Entry) []*Entry {
	all := slices.Collect(maps.Values(entries))
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return all
}

package journal

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Entry is the log's state of a message that has not ended or whose notice is outstanding.
type Entry struct {
	Seq           uint64 // number of the message in this log, set by Accept
	ID, Key       string
	Front         string // name of the front that accepted it
	Destination   int    // number of the partner system
	Class         int    // index of its class in the settings
	Tenant        int    // index of its tenant in the settings; below 0: none
	Deadline      time.Time
	Resubmitted   bool // its client had submitted it before
	Body          []byte
	Headers       []string // headers to send with it, names and values alternating
	PolicyVersion uint64   // version of the fleet's policy under which it was accepted; 0: none
	MaxAttempts   int      // maximum number of attempts under that policy; 0: as in the settings

	Attempts      int       // number of attempts decided so far; after a restart, of those that had begun
	InFlight      bool      // the last attempt has no outcome yet
	MayHaveRun    bool      // an attempt may have run at the destination
	MayHaveRunAt  time.Time // when the first attempt that may have run began
	MayHaveRunOn  string    // the destination of that attempt
	LastAttemptAt time.Time // when the last attempt was decided
	LastAttemptOn string    // the destination of the last attempt

	NoticePending bool // it has ended, and its client has not yet acknowledged the notice
	Notice        Notice

	loggedAttempts int // number of the last attempt written to the log; guarded by Log.mu
}

// Notice tells a client how its message ended.
type Notice struct {
	Delivered  bool // it was delivered; only for fronts with notices of deliveries
	HandedBack bool // its client may submit it again, after RetryAfter; if neither Delivered nor HandedBack it was given up
	RetryAfter time.Duration
}

// scheduleAttempt records that an attempt has been decided.
func (e *Entry) scheduleAttempt(at time.Time, destination string) {
	e.Attempts++
	e.InFlight, e.LastAttemptAt, e.LastAttemptOn = true, at, destination
}

// endAttempt records the outcome of the last attempt. Only the first attempt that may have run is kept: its time limits all repeats.
func (e *Entry) endAttempt(neverRan bool) {
	if e.InFlight = false; !neverRan && !e.MayHaveRun {
		e.MayHaveRun, e.MayHaveRunAt, e.MayHaveRunOn = true, e.LastAttemptAt, e.LastAttemptOn
	}
}

// messageReserve is the number of bytes reserved for a live message in a compacted file in addition to its strings and body: for two
// attempts, with the names of their destinations and their outcomes, and for the message's end.
const messageReserve = 384

// cost returns an upper bound for the bytes that a message takes in a compacted file.
func (e *Entry) cost() int64 {
	n := messageReserve + len(e.ID) + len(e.Key) + len(e.Front) + len(e.Body)
	for _, header := range e.Headers {
		n += len(header) + binary.MaxVarintLen16
	}
	return int64(n)
}

// sorted returns entries in the order in which they were accepted.
func sorted(entries map[uint64]*Entry) []*Entry {
	all := slices.Collect(maps.Values(entries))
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return all
}

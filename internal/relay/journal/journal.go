// Package journal is the relay's append-only log in the folder that outlasts its process: what it has taken
// on, the attempts made, how each message ended, and the notices it owes.
package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Entry is one message that is not over, as the log tells it.
type Entry struct {
	Seq           uint64 // its number in this log
	ID, Key       string
	Front         string // which front took it on
	Destination   int
	Class         int
	Tenant        int // below 0: nobody's
	Deadline      time.Time
	Resubmitted   bool
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

	NoticePending bool // it has ended, and the notice is still owed
	Notice        Notice

	loggedAttempts int // the attempt that the log tells of last; under the log's lock
}

// Notice is how a message ended that was not delivered.
type Notice struct {
	Delivered  bool // for fronts that are told of deliveries too
	HandedBack bool // its client may hand it in again
	RetryAfter time.Duration
}

// ErrFull is returned where the folder has no room for a new message.
var ErrFull = errors.New("journal: no room for a new message")

const (
	recordAccepted byte = iota + 1
	recordBegun
	recordOutcome
	recordEnded
	recordNotice
	recordAcked

	frameHead  = 8 // length, checksum
	maxPayload = 1 << 20
	logName    = "journal.log"
	nextName   = "journal.next"
	blockSize  = 512 // files count in whole blocks
	// A live message is charged for what it may come to in a new file beside its texts: two attempts, with the
	// names of their destinations, their outcomes and its end.
	messageReserve = 384
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is an open journal. Begin may be called by any goroutine, all else by one at a time.
type Log struct {
	dir      string
	maxBytes int64 // bytes that the folder may hold

	mu            sync.Mutex // guards the file and what it holds
	file          *os.File   // nil: closed
	size          int64      // of the file
	compactedSize int64      // of the file when it was last compacted
	liveBytes     int64      // what the messages that are not over may come to in a new file
	mustCompact   bool       // the file lacks what the state holds, or ends in a torn record: only a new file will do
	buf           []byte
	entries       map[uint64]*Entry
	lastSeq       uint64
}

// Open reads the log in dir, drops a torn tail, and compacts it.
func Open(dir string, disk int64) (*Log, error) {
	l := &Log{dir: dir, maxBytes: disk, entries: map[uint64]*Entry{}}
	data, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	l.replay(data)
	// A half-written successor is what a kill while compacting leaves.
	if err := os.Remove(filepath.Join(dir, nextName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return l, l.compact()
}

// Entries returns what is not over, in the order in which it was taken on.
func (l *Log) Entries() []*Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sortedEntries()
}

func (l *Log) sortedEntries() []*Entry {
	var all []*Entry
	for _, e := range l.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *Entry) int {
		if a.Seq < b.Seq {
			return -1
		}
		return 1
	})
	return all
}

// replay applies the whole records of data and returns how many bytes they take. A record that is torn or
// damaged ends it: nothing after that can be trusted to be in place.
func (l *Log) replay(data []byte) int {
	at := 0
	for len(data)-at >= frameHead {
		n := int(binary.LittleEndian.Uint32(data[at:]))
		if n == 0 || n > maxPayload || len(data)-at-frameHead < n {
			break
		}
		payload := data[at+frameHead : at+frameHead+n]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[at+4:]) || !l.apply(payload) {
			break
		}
		at += frameHead + n
	}
	return at
}

// apply takes one record into the state; false: it can't be read.
func (l *Log) apply(payload []byte) bool {
	r := &decoder{b: payload[1:]}
	seq := r.uint()
	e := l.entries[seq]
	switch payload[0] {
	case recordAccepted:
		e = &Entry{Seq: seq, ID: r.text(), Key: r.text(), Front: r.text(), Destination: int(r.uint()),
			Class: int(r.uint()), Deadline: r.time(), Resubmitted: r.uint() == 1, Body: []byte(r.text())}
		if len(r.b) > 0 { // the log of an older version has none
			for n := r.uint(); n > 0 && !r.bad; n-- {
				e.Headers = append(e.Headers, r.text())
			}
		}
		if e.Tenant = -1; len(r.b) > 0 { // nor this
			e.Tenant = int(r.uint()) - 1
		}
		if len(r.b) > 0 { // only in a fleet
			e.PolicyVersion, e.MaxAttempts = r.uint(), int(r.uint())
		}
		if !r.bad {
			l.entries[seq], l.lastSeq = e, max(l.lastSeq, seq)
			l.liveBytes += e.cost()
		}
	case recordBegun:
		if n, at, in := r.uint(), r.time(), r.text(); e != nil && !r.bad {
			e.Attempts, e.InFlight, e.LastAttemptAt, e.LastAttemptOn, e.loggedAttempts = int(n), true, at, in, int(n)
		}
	case recordOutcome:
		if neverRan := r.uint() == 1; e != nil && !r.bad {
			e.endAttempt(neverRan)
		}
	case recordEnded, recordAcked:
		if e != nil {
			l.liveBytes -= e.cost()
			delete(l.entries, seq)
		}
	case recordNotice:
		if flags, retry := r.uint(), r.uint(); e != nil && !r.bad {
			e.NoticePending, e.Notice = true, Notice{Delivered: flags&2 != 0, HandedBack: flags&1 != 0,
				RetryAfter: time.Duration(retry) * time.Millisecond}
		}
	default: // of a later version: skipped
	}
	return !r.bad
}

func (e *Entry) scheduleAttempt(at time.Time, destination string) {
	e.Attempts++
	e.InFlight, e.LastAttemptAt, e.LastAttemptOn = true, at, destination
}

func (e *Entry) endAttempt(neverRan bool) {
	if e.InFlight = false; !neverRan && !e.MayHaveRun {
		e.MayHaveRun, e.MayHaveRunAt, e.MayHaveRunOn = true, e.LastAttemptAt, e.LastAttemptOn
	}
}

func (e *Entry) cost() int64 {
	n := messageReserve + len(e.ID) + len(e.Key) + len(e.Front) + len(e.Body)
	for _, h := range e.Headers {
		n += len(h) + binary.MaxVarintLen16
	}
	return int64(n)
}

// Accept notes a message that is taken on, if there is room for it and what it will still need, also while the
// log is compacted, when the old file and the new one both stand.
func (l *Log) Accept(e *Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if 2*(l.liveBytes+e.cost())+64*blockSize > l.maxBytes*8/10 {
		return ErrFull
	}
	l.lastSeq++
	e.Seq = l.lastSeq
	l.entries[e.Seq] = e
	l.liveBytes += e.cost()
	l.appendAccepted(e)
	return nil
}

func (l *Log) appendAccepted(e *Entry) {
	again := uint64(0)
	if e.Resubmitted {
		again = 1
	}
	l.appendRecord(recordAccepted, e.Seq, func(b []byte) []byte {
		b = appendText(appendText(appendText(b, e.ID), e.Key), e.Front)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(e.Destination)), uint64(e.Class))
		b = binary.AppendUvarint(appendTime(b, e.Deadline), again)
		b = binary.AppendUvarint(appendText(b, string(e.Body)), uint64(len(e.Headers)))
		for _, h := range e.Headers {
			b = appendText(b, h)
		}
		b = binary.AppendUvarint(b, uint64(max(e.Tenant, -1)+1))
		if e.PolicyVersion != 0 || e.MaxAttempts != 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, e.PolicyVersion), uint64(e.MaxAttempts))
		}
		return b
	})
}

// Schedule notes that an attempt at destination has been decided. The log has nothing of it before Begin: one whose connection is
// still coming up when the process ends has never been.
func (l *Log) Schedule(e *Entry, at time.Time, destination string) {
	e.scheduleAttempt(at, destination)
}

// Begin writes that the attempts of these messages that were decided last begin now; false: nothing of them may be written. It
// is the last that happens before the first byte, on the goroutine that writes it. Messages that are over are left out; where
// all are, there is nothing to begin.
func (l *Log) Begin(all []*Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := len(l.buf)
	defer func() { l.buf = l.buf[:was] }() // what the core has noted meanwhile waits for its turn's end
	for _, e := range all {
		if l.entries[e.Seq] == e {
			l.appendBegun(e, e.Attempts, e.LastAttemptAt, e.LastAttemptOn)
		}
	}
	if len(l.buf) == was || l.file == nil || l.mustCompact {
		return false
	}
	n, err := l.file.Write(l.buf[was:])
	l.size += int64(n)
	if l.mustCompact = err != nil; l.mustCompact {
		return false
	}
	for _, e := range all {
		e.loggedAttempts = e.Attempts
	}
	return true
}

func (l *Log) appendBegun(e *Entry, n int, at time.Time, destination string) {
	l.appendRecord(recordBegun, e.Seq, func(b []byte) []byte {
		return appendText(appendTime(binary.AppendUvarint(b, uint64(n)), at), destination)
	})
}

// EndAttempt notes how the last attempt ended, for a message that goes on.
func (l *Log) EndAttempt(e *Entry, neverRan bool) {
	e.endAttempt(neverRan)
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.loggedAttempts == e.Attempts { // otherwise the log knows nothing of that attempt
		l.appendOutcome(e, neverRan)
	}
}

func (l *Log) appendOutcome(e *Entry, neverRan bool) {
	v := uint64(0)
	if neverRan {
		v = 1
	}
	l.appendRecord(recordOutcome, e.Seq, func(b []byte) []byte { return binary.AppendUvarint(b, v) })
}

// End notes that a message is over and nothing more is owed.
func (l *Log) End(e *Entry) { l.appendEnd(recordEnded, e) }

// EndWithNotice notes that a message has ended and that a notice of it is owed.
func (l *Log) EndWithNotice(e *Entry, n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.NoticePending, e.Notice = true, n
	l.appendNotice(e)
}

func (l *Log) appendNotice(e *Entry) {
	flags := uint64(0)
	if e.Notice.HandedBack {
		flags |= 1
	}
	if e.Notice.Delivered {
		flags |= 2
	}
	l.appendRecord(recordNotice, e.Seq, func(b []byte) []byte {
		return binary.AppendUvarint(binary.AppendUvarint(b, flags), uint64(e.Notice.RetryAfter/time.Millisecond))
	})
}

// Ack notes that the notice owed has been taken.
func (l *Log) Ack(e *Entry) { l.appendEnd(recordAcked, e) }

func (l *Log) appendEnd(code byte, e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[e.Seq] == nil {
		return
	}
	l.liveBytes -= e.cost()
	delete(l.entries, e.Seq)
	l.appendRecord(code, e.Seq, func(b []byte) []byte { return b })
}

func (l *Log) appendRecord(code byte, seq uint64, fields func([]byte) []byte) {
	at := len(l.buf)
	l.buf = append(l.buf, make([]byte, frameHead)...)
	l.buf = fields(binary.AppendUvarint(append(l.buf, code), seq))
	payload := l.buf[at+frameHead:]
	binary.LittleEndian.PutUint32(l.buf[at:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(l.buf[at+4:], crc32.Checksum(payload, castagnoli))
}

// Flush writes what has been noted since the last call; nothing of it may be acted on before. It compacts
// the log before the folder fills up.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flush()
}

func (l *Log) flush() error {
	if len(l.buf) == 0 {
		return nil
	}
	// While compacting, the old file and the new one must both fit.
	if l.mustCompact || l.size+int64(len(l.buf))+l.liveBytes+64*blockSize > l.maxBytes*9/10 || l.size > 2*(l.compactedSize+l.liveBytes)+256<<10 {
		return l.compact() // the state holds what is in the buffer
	}
	n, err := l.file.Write(l.buf)
	l.size += int64(n)
	if err != nil {
		return l.compact() // a part of a record may stand at the end, behind which nothing would be read again
	}
	l.buf = l.buf[:0]
	return nil
}

// compact writes what is not over to a new file, which then takes the old one's place in one step. Until it has succeeded
// nothing may be appended: behind a torn record, or to a file that has lost its name, nothing would be read again.
func (l *Log) compact() error {
	l.mustCompact = true
	l.buf = l.buf[:0]
	for _, e := range l.sortedEntries() {
		l.appendAccepted(e)
		out := e.InFlight && e.loggedAttempts == e.Attempts
		if e.loggedAttempts = e.Attempts; e.InFlight && !out { // decided, and not begun
			e.loggedAttempts--
		}
		if e.MayHaveRun {
			l.appendBegun(e, e.loggedAttempts, e.MayHaveRunAt, e.MayHaveRunOn)
			l.appendOutcome(e, false)
		}
		if e.loggedAttempts > 0 && (out || !e.MayHaveRun) {
			l.appendBegun(e, e.loggedAttempts, e.LastAttemptAt, e.LastAttemptOn)
			if !out {
				l.appendOutcome(e, true)
			}
		}
		if e.NoticePending {
			l.appendNotice(e)
		}
	}
	name := filepath.Join(l.dir, nextName)
	err := os.WriteFile(name, l.buf, 0o600)
	if err == nil {
		err = os.Rename(name, filepath.Join(l.dir, logName))
	}
	if err != nil {
		l.buf = l.buf[:0]
		return fmt.Errorf("journal: %w", err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.size, l.compactedSize, l.buf = int64(len(l.buf)), int64(len(l.buf)), l.buf[:0]
	if l.file, err = os.OpenFile(filepath.Join(l.dir, logName), os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	l.mustCompact = false
	return nil
}

// Close writes what is left and closes the file: nothing begins from then on.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.flush()
	if l.file != nil {
		err = errors.Join(err, l.file.Close())
		l.file = nil
	}
	return err
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendTime(b []byte, t time.Time) []byte { return binary.AppendVarint(b, t.UnixMicro()) }

// decoder reads the fields of a payload; bad is set once one is missing.
type decoder struct {
	b   []byte
	bad bool
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	return v * d.skip(n)
}

// skip drops a number of n bytes; it returns 0 where there was none.
func (d *decoder) skip(n int) uint64 {
	if n <= 0 {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return 1
}

func (d *decoder) time() time.Time {
	v, n := binary.Varint(d.b)
	d.skip(n)
	return time.UnixMicro(v)
}

func (d *decoder) text() string {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.bad = true
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

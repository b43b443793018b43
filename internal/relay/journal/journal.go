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
	Seq         uint64 // its number in this log
	ID, Key     string
	Front       string // which front took it on
	Destination int
	Class       int
	Tenant      int // below 0: nobody's
	Deadline    time.Time
	Again       bool
	Body        []byte
	Headers     []string // that go out with it, names and values in turn
	Policy      uint64   // version of the fleet's policy under which it was taken on; 0: none
	Allow       int      // attempts that it may have by that; 0: what the settings allow

	Attempts int       // decided so far, and once the process has ended those that were begun
	Out      bool      // the last of them has no outcome
	Ran      bool      // one of them may have run
	RanAt    time.Time // when the first such began
	RanIn    string    // the destination it went to
	LastAt   time.Time // when the last attempt began, and where to
	LastIn   string

	Owed   bool // it has ended, and the notice is still owed
	Notice Notice

	begun int // the attempt that the log tells of last; under the log's lock
}

// Notice is how a message ended that was not delivered.
type Notice struct {
	Delivered  bool // for fronts that are told of deliveries too
	HandedBack bool // its client may hand it in again
	Retry      time.Duration
}

// ErrFull is returned where the folder has no room for a new message.
var ErrFull = errors.New("journal: no room for a new message")

const (
	recTaken byte = iota + 1
	recStarted
	recOutcome
	recEnded
	recOwed
	recAcked

	frameHead  = 8 // length, checksum
	maxPayload = 1 << 20
	logName    = "journal.log"
	nextName   = "journal.next"
	block      = 512 // files count in whole blocks
	// A live message is charged for what it may come to in a new file beside its texts: two attempts, with the
	// names of their destinations, their outcomes and its end.
	reserve = 384
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Log is an open journal. Begin may be called by any goroutine, all else by one at a time.
type Log struct {
	dir  string
	disk int64 // bytes that the folder may hold

	mu     sync.Mutex // over the file and what it holds
	f      *os.File   // nil: closed
	size   int64      // of the file
	base   int64      // of the file when it was last compacted
	live   int64      // what the messages that are not over may come to in a new file
	behind bool       // the file lacks what the state holds, or ends in a torn record: only a new file will do
	buf    []byte
	open   map[uint64]*Entry
	last   uint64
}

// Open reads the log in dir, drops a torn tail, and compacts it.
func Open(dir string, disk int64) (*Log, error) {
	l := &Log{dir: dir, disk: disk, open: map[uint64]*Entry{}}
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
	return l.entries()
}

func (l *Log) entries() []*Entry {
	var all []*Entry
	for _, e := range l.open {
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
		if crc32.Checksum(payload, table) != binary.LittleEndian.Uint32(data[at+4:]) || !l.apply(payload) {
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
	e := l.open[seq]
	switch payload[0] {
	case recTaken:
		e = &Entry{Seq: seq, ID: r.text(), Key: r.text(), Front: r.text(), Destination: int(r.uint()),
			Class: int(r.uint()), Deadline: r.time(), Again: r.uint() == 1, Body: []byte(r.text())}
		if len(r.b) > 0 { // the log of an older version has none
			for n := r.uint(); n > 0 && !r.bad; n-- {
				e.Headers = append(e.Headers, r.text())
			}
		}
		if e.Tenant = -1; len(r.b) > 0 { // nor this
			e.Tenant = int(r.uint()) - 1
		}
		if len(r.b) > 0 { // only in a fleet
			e.Policy, e.Allow = r.uint(), int(r.uint())
		}
		if !r.bad {
			l.open[seq], l.last = e, max(l.last, seq)
			l.live += e.cost()
		}
	case recStarted:
		if n, at, in := r.uint(), r.time(), r.text(); e != nil && !r.bad {
			e.Attempts, e.Out, e.LastAt, e.LastIn, e.begun = int(n), true, at, in, int(n)
		}
	case recOutcome:
		if neverRan := r.uint() == 1; e != nil && !r.bad {
			e.settle(neverRan)
		}
	case recEnded, recAcked:
		if e != nil {
			l.live -= e.cost()
			delete(l.open, seq)
		}
	case recOwed:
		if flags, retry := r.uint(), r.uint(); e != nil && !r.bad {
			e.Owed, e.Notice = true, Notice{Delivered: flags&2 != 0, HandedBack: flags&1 != 0,
				Retry: time.Duration(retry) * time.Millisecond}
		}
	default: // of a later version: skipped
	}
	return !r.bad
}

func (e *Entry) start(at time.Time, destination string) {
	e.Attempts++
	e.Out, e.LastAt, e.LastIn = true, at, destination
}

func (e *Entry) settle(neverRan bool) {
	if e.Out = false; !neverRan && !e.Ran {
		e.Ran, e.RanAt, e.RanIn = true, e.LastAt, e.LastIn
	}
}

func (e *Entry) cost() int64 {
	n := reserve + len(e.ID) + len(e.Key) + len(e.Front) + len(e.Body)
	for _, h := range e.Headers {
		n += len(h) + binary.MaxVarintLen16
	}
	return int64(n)
}

// Take notes a message that is taken on, if there is room for it and what it will still need, also while the
// log is compacted, when the old file and the new one both stand.
func (l *Log) Take(e *Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if 2*(l.live+e.cost())+64*block > l.disk*8/10 {
		return ErrFull
	}
	l.last++
	e.Seq = l.last
	l.open[e.Seq] = e
	l.live += e.cost()
	l.taken(e)
	return nil
}

func (l *Log) taken(e *Entry) {
	again := uint64(0)
	if e.Again {
		again = 1
	}
	l.record(recTaken, e.Seq, func(b []byte) []byte {
		b = text(text(text(b, e.ID), e.Key), e.Front)
		b = binary.AppendUvarint(binary.AppendUvarint(b, uint64(e.Destination)), uint64(e.Class))
		b = binary.AppendUvarint(stamp(b, e.Deadline), again)
		b = binary.AppendUvarint(text(b, string(e.Body)), uint64(len(e.Headers)))
		for _, h := range e.Headers {
			b = text(b, h)
		}
		b = binary.AppendUvarint(b, uint64(max(e.Tenant, -1)+1))
		if e.Policy != 0 || e.Allow != 0 {
			b = binary.AppendUvarint(binary.AppendUvarint(b, e.Policy), uint64(e.Allow))
		}
		return b
	})
}

// Start notes that an attempt at destination has been decided. The log has nothing of it before Begin: one whose connection is
// still coming up when the process ends has never been.
func (l *Log) Start(e *Entry, at time.Time, destination string) { e.start(at, destination) }

// Begin writes that the attempts of these messages that were decided last begin now; false: nothing of them may be written. It
// is the last that happens before the first byte, on the goroutine that writes it. Messages that are over are left out; where
// all are, there is nothing to begin.
func (l *Log) Begin(all []*Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	was := len(l.buf)
	defer func() { l.buf = l.buf[:was] }() // what the core has noted meanwhile waits for its turn's end
	for _, e := range all {
		if l.open[e.Seq] == e {
			l.started(e, e.Attempts, e.LastAt, e.LastIn)
		}
	}
	if len(l.buf) == was || l.f == nil || l.behind {
		return false
	}
	n, err := l.f.Write(l.buf[was:])
	l.size += int64(n)
	if l.behind = err != nil; l.behind {
		return false
	}
	for _, e := range all {
		e.begun = e.Attempts
	}
	return true
}

func (l *Log) started(e *Entry, n int, at time.Time, destination string) {
	l.record(recStarted, e.Seq, func(b []byte) []byte {
		return text(stamp(binary.AppendUvarint(b, uint64(n)), at), destination)
	})
}

// Outcome notes how the last attempt ended, for a message that goes on.
func (l *Log) Outcome(e *Entry, neverRan bool) {
	e.settle(neverRan)
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.begun == e.Attempts { // otherwise the log knows nothing of that attempt
		l.outcome(e, neverRan)
	}
}

func (l *Log) outcome(e *Entry, neverRan bool) {
	v := uint64(0)
	if neverRan {
		v = 1
	}
	l.record(recOutcome, e.Seq, func(b []byte) []byte { return binary.AppendUvarint(b, v) })
}

// End notes that a message is over and nothing more is owed.
func (l *Log) End(e *Entry) { l.over(recEnded, e) }

// Owe notes that a message has ended and that a notice of it is owed.
func (l *Log) Owe(e *Entry, n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Owed, e.Notice = true, n
	l.owed(e)
}

func (l *Log) owed(e *Entry) {
	flags := uint64(0)
	if e.Notice.HandedBack {
		flags |= 1
	}
	if e.Notice.Delivered {
		flags |= 2
	}
	l.record(recOwed, e.Seq, func(b []byte) []byte {
		return binary.AppendUvarint(binary.AppendUvarint(b, flags), uint64(e.Notice.Retry/time.Millisecond))
	})
}

// Ack notes that the notice owed has been taken.
func (l *Log) Ack(e *Entry) { l.over(recAcked, e) }

func (l *Log) over(code byte, e *Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[e.Seq] == nil {
		return
	}
	l.live -= e.cost()
	delete(l.open, e.Seq)
	l.record(code, e.Seq, func(b []byte) []byte { return b })
}

func (l *Log) record(code byte, seq uint64, fields func([]byte) []byte) {
	at := len(l.buf)
	l.buf = append(l.buf, make([]byte, frameHead)...)
	l.buf = fields(binary.AppendUvarint(append(l.buf, code), seq))
	payload := l.buf[at+frameHead:]
	binary.LittleEndian.PutUint32(l.buf[at:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(l.buf[at+4:], crc32.Checksum(payload, table))
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
	if l.behind || l.size+int64(len(l.buf))+l.live+64*block > l.disk*9/10 || l.size > 2*(l.base+l.live)+256<<10 {
		return l.compact() // the state holds what is in the buffer
	}
	n, err := l.f.Write(l.buf)
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
	l.behind = true
	l.buf = l.buf[:0]
	for _, e := range l.entries() {
		l.taken(e)
		out := e.Out && e.begun == e.Attempts
		if e.begun = e.Attempts; e.Out && !out { // decided, and not begun
			e.begun--
		}
		if e.Ran {
			l.started(e, e.begun, e.RanAt, e.RanIn)
			l.outcome(e, false)
		}
		if e.begun > 0 && (out || !e.Ran) {
			l.started(e, e.begun, e.LastAt, e.LastIn)
			if !out {
				l.outcome(e, true)
			}
		}
		if e.Owed {
			l.owed(e)
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
	if l.f != nil {
		_ = l.f.Close()
	}
	l.size, l.base, l.buf = int64(len(l.buf)), int64(len(l.buf)), l.buf[:0]
	if l.f, err = os.OpenFile(filepath.Join(l.dir, logName), os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	l.behind = false
	return nil
}

// Close writes what is left and closes the file: nothing begins from then on.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.flush()
	if l.f != nil {
		err = errors.Join(err, l.f.Close())
		l.f = nil
	}
	return err
}

func text(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }

func stamp(b []byte, t time.Time) []byte { return binary.AppendVarint(b, t.UnixMicro()) }

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

package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	logName   = "journal.log"
	nextName  = "journal.next" // what compaction writes, until it takes the log's place
	blockSize = 512            // bytes: files count in whole blocks
	// fileOverhead is what the folder may come to hold beside the files' own bytes.
	fileOverhead = 64 * blockSize
)

// ErrFull is returned by Accept where the folder has no room for a new message.
var ErrFull = errors.New("journal: no room for a new message")

// Log is an open journal. Begin may be called by any goroutine, all else by one at a time.
type Log struct {
	dir      string
	maxBytes int64 // that the folder may hold

	mu            sync.Mutex // guards the file and what it holds
	file          *os.File   // nil: closed
	size          int64      // of the file
	compactedSize int64      // of the file when it was last compacted
	liveBytes     int64      // what the entries may come to in a new file
	mustCompact   bool       // the file lacks what the state holds, or ends in a torn record: only a new file will do
	buf           []byte     // records that Flush is to write
	entries       map[uint64]*Entry
	lastSeq       uint64 // never given to another message
}

// Open reads the log in dir, drops a torn tail, and compacts it. The folder may come to hold maxBytes.
func Open(dir string, maxBytes int64) (*Log, error) {
	l := &Log{dir: dir, maxBytes: maxBytes, entries: map[uint64]*Entry{}}
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

// Entries returns the messages that have not ended, and those whose notices are outstanding, in the order in which they were taken on.
func (l *Log) Entries() []*Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sortedEntries()
}

// sortedEntries is Entries for those who hold the lock.
func (l *Log) sortedEntries() []*Entry {
	return sorted(l.entries)
}

// replay applies the complete records of data and returns how many bytes they take. A record that is torn or
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

// Accept notes a message that is taken on, if there is room for it and what it will still need, also while the
// log is compacted, when the old file and the new one both stand.
func (l *Log) Accept(e *Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if 2*(l.liveBytes+e.cost())+fileOverhead > l.maxBytes*8/10 {
		return ErrFull
	}
	l.lastSeq++
	e.Seq = l.lastSeq
	l.entries[e.Seq] = e
	l.liveBytes += e.cost()
	l.appendAccepted(e)
	return nil
}

// Schedule notes that an attempt at destination has been decided. The log has nothing of it before Begin: one whose connection is
// still coming up when the process ends has never been.
func (l *Log) Schedule(e *Entry, at time.Time, destination string) {
	e.scheduleAttempt(at, destination)
}

// Begin writes that the attempts of these messages that were decided last begin now; false: nothing of them may be written. It
// is the last that happens before the first byte, on the goroutine that writes it. Messages that have ended are left out;
// where all have, there is nothing to begin. What the core has noted meanwhile is written before it: the outcome of a message's last
// attempt, read back behind the next one's beginning, would be taken for that one's.
func (l *Log) Begin(entries []*Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	buffered := len(l.buf)
	for _, e := range entries {
		if l.entries[e.Seq] == e {
			l.appendAttempt(e, e.Attempts, e.LastAttemptAt, e.LastAttemptOn)
		}
	}
	if len(l.buf) == buffered || l.file == nil || l.mustCompact {
		l.buf = l.buf[:buffered]
		return false
	}
	n, err := l.file.Write(l.buf)
	l.size += int64(n)
	if l.mustCompact = err != nil; l.mustCompact {
		l.buf = l.buf[:buffered] // it is in the state that the new file gets
		return false
	}
	l.buf = l.buf[:0]
	for _, e := range entries {
		e.loggedAttempts = e.Attempts
	}
	return true
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

// End notes that a message has ended, with no notice outstanding.
func (l *Log) End(e *Entry) { l.appendEnd(recordEnded, e) }

// EndWithNotice notes that a message has ended and that a notice of it is outstanding.
func (l *Log) EndWithNotice(e *Entry, n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.NoticePending, e.Notice = true, n
	l.appendNotice(e)
}

// Ack notes that the outstanding notice has been acknowledged.
func (l *Log) Ack(e *Entry) { l.appendEnd(recordAcked, e) }

// appendEnd forgets an entry and notes why.
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

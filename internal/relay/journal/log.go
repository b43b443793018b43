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
	nextName  = "journal.next" // the file that compaction writes, then renames to logName
	blockSize = 512            // bytes: a file takes whole blocks of its folder
	// fileOverhead is reserved for what the folder takes beyond the sizes of the files, in bytes.
	fileOverhead = 64 * blockSize
)

// ErrFull is returned by Accept if the folder has no room for a new message.
var ErrFull = errors.New("journal: no room for a new message")

// Log is an open journal. Begin may be called from any goroutine; the other methods must not be called concurrently with each other.
type Log struct {
	dir      string
	maxBytes int64 // limit of the folder

	mu            sync.Mutex // guards the fields below
	file          *os.File   // nil: closed
	size          int64      // of the file
	compactedSize int64      // of the file when it was last compacted
	liveBytes     int64      // upper bound for the size of the entries in a compacted file
	mustCompact   bool       // the file misses records or ends in a torn one: it must be replaced
	buf           []byte     // records that Flush is to write
	entries       map[uint64]*Entry
	lastSeq       uint64 // the last number given to a message; numbers are not reused
}

// Open reads the log in dir, without a torn end, and compacts it. maxBytes limits the size of the folder.
func Open(dir string, maxBytes int64) (*Log, error) {
	l := &Log{dir: dir, maxBytes: maxBytes, entries: map[uint64]*Entry{}}
	data, err := os.ReadFile(filepath.Join(dir, logName))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	l.replay(data)
	// A kill during compaction leaves a partly written file.
	if err := os.Remove(filepath.Join(dir, nextName)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	return l, l.compact()
}

// Entries returns the messages that have not ended or whose notices are outstanding, in the order in which they were accepted.
func (l *Log) Entries() []*Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sortedEntries()
}

// sortedEntries is Entries for callers that hold mu.
func (l *Log) sortedEntries() []*Entry {
	return sorted(l.entries)
}

// replay applies the complete records of data and returns their size in bytes. A torn or damaged record ends it, since the
// records after that one can't be located reliably.
func (l *Log) replay(data []byte) int {
	offset := 0
	for len(data)-offset >= frameHead {
		n := int(binary.LittleEndian.Uint32(data[offset:]))
		if n == 0 || n > maxPayload || len(data)-offset-frameHead < n {
			break
		}
		payload := data[offset+frameHead : offset+frameHead+n]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[offset+4:]) || !l.apply(payload) {
			break
		}
		offset += frameHead + n
	}
	return offset
}

// Accept records an accepted message if there is room for it and its later records, even during compaction, when the old
// file and the new one both exist.
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

// Schedule records in e, but not in the log, that an attempt at destination has been decided. Begin writes it to the log: an attempt
// whose connection is still being opened when the process ends does not count.
func (l *Log) Schedule(e *Entry, at time.Time, destination string) {
	e.scheduleAttempt(at, destination)
}

// Begin writes to the log that the last decided attempt of each message begins now; false: the attempt must not be made. It is called
// immediately before the first byte is sent, on the goroutine that sends it. Messages that have ended are left out; if all have ended,
// it returns false. Begin also writes the buffered records, and these come first: read back after the beginning of the next attempt,
// the outcome of the last one would be taken for the outcome of the next.
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
		l.buf = l.buf[:buffered] // compaction writes the buffered records from the entries
		return false
	}
	l.buf = l.buf[:0]
	for _, e := range entries {
		e.loggedAttempts = e.Attempts
	}
	return true
}

// EndAttempt records the outcome of the last attempt of a message that has not ended.
func (l *Log) EndAttempt(e *Entry, neverRan bool) {
	e.endAttempt(neverRan)
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.loggedAttempts == e.Attempts { // otherwise that attempt is not in the log
		l.appendOutcome(e, neverRan)
	}
}

// End records that a message has ended with no notice outstanding.
func (l *Log) End(e *Entry) { l.appendEnd(recordEnded, e) }

// EndWithNotice records that a message has ended and that a notice of it is outstanding.
func (l *Log) EndWithNotice(e *Entry, n Notice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.NoticePending, e.Notice = true, n
	l.appendNotice(e)
}

// Ack records that the outstanding notice has been acknowledged.
func (l *Log) Ack(e *Entry) { l.appendEnd(recordAcked, e) }

// appendEnd removes an entry and adds the record that says why.
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

// Close writes the buffered records and closes the file. Begin returns false from then on.
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

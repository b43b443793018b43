package journal

import (
	"fmt"
	"os"
	"path/filepath"
)

// Flush writes the records added since the last call; the caller must not act on them before Flush returns. It compacts the log
// before the folder fills up.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.flush()
}

func (l *Log) flush() error {
	if len(l.buf) == 0 {
		return nil
	}
	if l.wantsCompaction() {
		return l.compact() // the entries include what the buffered records say
	}
	n, err := l.file.Write(l.buf)
	l.size += int64(n)
	if err != nil {
		return l.compact() // the file may end in a torn record, and records after it would not be read
	}
	l.buf = l.buf[:0]
	return nil
}

// wantsCompaction reports whether to compact the log instead of appending the buffer to it. While the log is compacted, the old file and
// the new one must both fit.
func (l *Log) wantsCompaction() bool {
	const slack = 256 << 10 // bytes: a small log is not worth rewriting
	return l.mustCompact || l.size+int64(len(l.buf))+l.liveBytes+fileOverhead > l.maxBytes*9/10 ||
		l.size > 2*(l.compactedSize+l.liveBytes)+slack
}

// compact writes the live entries to a new file and renames that over the log. Until it has succeeded nothing may be appended:
// records after a torn one, or in a file that has been replaced, would not be read again.
func (l *Log) compact() error {
	l.mustCompact = true
	l.buf = l.buf[:0]
	for _, e := range l.sortedEntries() {
		l.appendEntry(e)
	}
	next, log := filepath.Join(l.dir, nextName), filepath.Join(l.dir, logName)
	err := os.WriteFile(next, l.buf, 0o600)
	if err == nil {
		err = os.Rename(next, log)
	}
	if err != nil {
		l.buf = l.buf[:0]
		return fmt.Errorf("journal: %w", err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	l.size, l.compactedSize, l.buf = int64(len(l.buf)), int64(len(l.buf)), l.buf[:0]
	if l.file, err = os.OpenFile(log, os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	l.mustCompact = false
	return nil
}

// appendEntry adds the minimal records from which a message's entry can be restored to the buffer. Of its attempts these hold only the
// first that may have run and the last.
func (l *Log) appendEntry(e *Entry) {
	l.appendAccepted(e)
	inFlight := e.InFlight && e.loggedAttempts == e.Attempts
	if e.loggedAttempts = e.Attempts; e.InFlight && !inFlight { // the last attempt has been decided but has not begun
		e.loggedAttempts--
	}
	if e.MayHaveRun {
		l.appendAttempt(e, e.loggedAttempts, e.MayHaveRunAt, e.MayHaveRunOn)
		l.appendOutcome(e, false)
	}
	if e.loggedAttempts > 0 && (inFlight || !e.MayHaveRun) {
		l.appendAttempt(e, e.loggedAttempts, e.LastAttemptAt, e.LastAttemptOn)
		if !inFlight {
			l.appendOutcome(e, true)
		}
	}
	if e.NoticePending {
		l.appendNotice(e)
	}
}

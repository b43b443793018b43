package journal

import (
	"fmt"
	"os"
	"path/filepath"
)

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
	if l.wantsCompaction() {
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

// wantsCompaction tells whether what is buffered must not, or had better not, be appended. While the log is compacted, the old file and
// the new one must both fit.
func (l *Log) wantsCompaction() bool {
	const slack = 256 << 10 // bytes: a small log is not worth rewriting
	return l.mustCompact || l.size+int64(len(l.buf))+l.liveBytes+fileOverhead > l.maxBytes*9/10 ||
		l.size > 2*(l.compactedSize+l.liveBytes)+slack
}

// compact writes what is still needed to a new file, which then takes the old one's place in one step. Until it has succeeded
// nothing may be appended: behind a torn record, or to a file that has lost its name, nothing would be read again.
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

// appendEntry puts all that is known of a message into the buffer, in as few records as say it: of its attempts only the first that may
// have run and the last count.
func (l *Log) appendEntry(e *Entry) {
	l.appendAccepted(e)
	inFlight := e.InFlight && e.loggedAttempts == e.Attempts
	if e.loggedAttempts = e.Attempts; e.InFlight && !inFlight { // decided, and not begun
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

package localtier

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

// logFile is a process's log. It adds the time of day before each line, as the log storage of a platform does.
type logFile struct {
	file *os.File

	mutex   sync.Mutex // guards partial, and keeps the writes to file in order
	partial []byte     // the beginning of a line whose end has not been written yet
}

// timeFormat is the format of the times in logs.
const timeFormat = "15:04:05.000"

// openLog opens a log to append to it.
func openLog(path string) (*logFile, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &logFile{file: file}, nil
}

// Write implements io.Writer.
func (l *logFile) Write(data []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.partial = append(l.partial, data...)
	end := bytes.LastIndexByte(l.partial, '\n') + 1
	var stamped []byte
	for line := range bytes.Lines(l.partial[:end]) {
		stamped = append(time.Now().AppendFormat(stamped, timeFormat+" "), line...)
	}
	l.partial = append([]byte(nil), l.partial[end:]...)
	if _, err := l.file.Write(stamped); err != nil {
		return 0, err
	}
	return len(data), nil
}

// annotate writes a remark, which is a line that doesn't come from the process.
func (l *logFile) annotate(format string, values ...any) {
	fmt.Fprintf(l, "--- "+format+"\n", values...)
}

// Close writes the incomplete last line, if any, with a remark, and closes the file. Nothing may write concurrently.
func (l *logFile) Close() error {
	if len(l.partial) > 0 {
		l.annotate("the last line is incomplete")
	}
	return l.file.Close()
}

package proxy

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds one event: an endpoint that sends bytes which are no events must not fill the memory.
const maxEventBytes = 1 << 20

// eventScanner parses a text/event-stream as its bytes come. It withholds the bytes of an event until that is complete, counts
// the events, keeps the last id, and collects their data if asked to.
type eventScanner struct {
	collect       bool
	output        []byte // the data of each complete event with a line feed behind
	count         int64  // complete events that have data or an id
	lastID        string
	lastWithoutID bool // the last event with data had no id: it is unknown where the stream could be resumed
	resumed       bool // the stream was resumed at another endpoint: its events must have higher ids than the last one
	unforwardable bool // what comes can't be forwarded: an event that may be a duplicate, or one without end

	pending      []byte // bytes not yet forwarded
	scannedBytes int    // bytes of pending that belong to lines already parsed
	hasData      bool   // of the event being read
	hasID        bool
	id           string
	dataStart    int // where the data of the event being read begins in output
}

// feed takes the next bytes and returns those that may be forwarded: complete events. They are valid until the next call.
func (s *eventScanner) feed(chunk []byte) []byte {
	if len(s.pending) > 0 {
		s.pending = append(s.pending, chunk...)
		return s.scan(s.pending)
	}
	return s.scan(chunk)
}

// scan reads the lines in buffer from the scanned ones on. What follows the last complete event becomes pending.
func (s *eventScanner) scan(buffer []byte) []byte {
	complete := 0
	for {
		feed := bytes.IndexByte(buffer[s.scannedBytes:], '\n')
		if feed < 0 {
			break
		}
		line := buffer[s.scannedBytes : s.scannedBytes+feed]
		s.scannedBytes += feed + 1
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) > 0 {
			s.processLine(line)
			continue
		}
		if s.isDuplicate() {
			s.unforwardable = true
			break
		}
		s.endEvent()
		complete = s.scannedBytes
	}
	s.keepPending(buffer, complete)
	return buffer[:complete]
}

// keepPending keeps the bytes from complete on. They are copied, so that the returned ones stay valid too.
func (s *eventScanner) keepPending(buffer []byte, complete int) {
	s.scannedBytes -= complete
	rest := buffer[complete:]
	s.unforwardable = s.unforwardable || len(rest) > maxEventBytes
	if len(rest) == 0 {
		s.pending = nil
		return
	}
	if complete == 0 && len(s.pending) > 0 {
		return
	}
	s.pending = append(make([]byte, 0, len(rest)+256), rest...)
}

// isDuplicate reports whether the event that has just been read may be one that the client got before the stream was resumed.
func (s *eventScanner) isDuplicate() bool {
	if !s.resumed || !s.hasID && !s.hasData {
		return false
	}
	return !s.hasID || !isHigherID(s.id, s.lastID)
}

// isHigherID reports whether an id is above another one. Of ids that aren't both numbers it is known only that equal ones aren't.
func isHigherID(id, than string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return id != than
	}
	b, err := strconv.ParseUint(than, 10, 64)
	return err != nil || a > b
}

// The fields of an event that matter here; see the WHATWG's HTML standard, section 9.2 (server-sent events).
var (
	dataField = []byte("data")
	idField   = []byte("id")
)

// processLine takes one line of an event: a field, or a comment, which has no name.
func (s *eventScanner) processLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch {
	case bytes.Equal(name, dataField):
		s.hasData = true
		if s.collect {
			s.output = append(append(s.output, value...), '\n')
		}
	case bytes.Equal(name, idField):
		s.hasID = true
		s.id = string(value)
	}
}

// endEvent takes the blank line that ends an event. Lines of data are joined by line feeds, and one stands behind them, so
// output is complete already.
func (s *eventScanner) endEvent() {
	if s.hasData || s.hasID {
		s.count++
	}
	if s.hasID {
		s.lastID, s.lastWithoutID = s.id, false
	} else if s.hasData {
		s.lastWithoutID = true
	}
	s.hasData, s.hasID = false, false
	s.dataStart = len(s.output)
}

// insideEvent reports whether an event has begun and not ended.
func (s *eventScanner) insideEvent() bool { return len(s.pending) > 0 || s.hasData || s.hasID }

// finish takes the end of a complete stream: an event that no blank line ends is complete too. It returns the pending bytes; none
// where the stream is unforwardable.
func (s *eventScanner) finish() []byte {
	if !s.insideEvent() {
		return nil
	}
	rest := s.pending
	if line := bytes.TrimSuffix(rest[s.scannedBytes:], []byte{'\r'}); len(line) > 0 {
		s.processLine(line)
	}
	if s.isDuplicate() {
		s.unforwardable = true
		return nil
	}
	s.endEvent()
	s.pending, s.scannedBytes = nil, 0
	return rest
}

// streamProgress is how much of a stream has gone to the client.
type streamProgress struct {
	count         int64
	lastID        string
	lastWithoutID bool
	dataStart     int
}

// progress returns what rewind takes the scanner back to.
func (s *eventScanner) progress() streamProgress {
	return streamProgress{count: s.count, lastID: s.lastID, lastWithoutID: s.lastWithoutID, dataStart: s.dataStart}
}

// rewind forgets the events since then, which were not forwarded, and the one being read.
func (s *eventScanner) rewind(to streamProgress) {
	s.count, s.lastID, s.lastWithoutID, s.dataStart = to.count, to.lastID, to.lastWithoutID, to.dataStart
	s.restart()
}

// restart forgets an event that was broken off, before the stream is resumed at another endpoint.
func (s *eventScanner) restart() {
	s.pending, s.scannedBytes = nil, 0
	s.hasData, s.hasID = false, false
	s.output = s.output[:s.dataStart]
	s.resumed, s.unforwardable = s.lastID != "", false
}

package proxy

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the size of one event, so that an endpoint whose bytes are not events cannot exhaust memory.
const maxEventBytes = 1 << 20

// eventScanner parses a text/event-stream as its bytes arrive. It withholds the bytes of an event until the event is complete, counts
// the events, and records the last id and, if collect is set, their data.
type eventScanner struct {
	collect       bool
	output        []byte // data of the events, each line followed by a line feed
	count         int64  // complete events that have data or an id
	lastID        string
	lastWithoutID bool // the last event with data had no id, so it is unknown where the stream could be resumed
	resumed       bool // the stream was resumed at another endpoint: its events must have higher ids than lastID
	unforwardable bool // the rest must not be forwarded: the current event may be a duplicate, or exceeds maxEventBytes

	pending      []byte // bytes not yet forwarded
	scannedBytes int    // bytes of pending in lines already parsed
	hasData      bool   // of the current event
	hasID        bool
	id           string
	dataStart    int // offset in output of the current event's data
}

// capacityFor returns the bytes that the scanner may hold once it has parsed that many more.
func (s *eventScanner) capacityFor(next int) int {
	capacity := grownCapacity(cap(s.pending), len(s.pending)+next)
	if s.collect {
		capacity += grownCapacity(cap(s.output), len(s.output)+next)
	}
	return capacity
}

// grownCapacity returns at least the capacity of a slice once it has been appended to until it has so many elements.
func grownCapacity(capacity, length int) int {
	if length <= capacity {
		return capacity
	}
	return max(2*capacity, length)
}

// feed parses the next bytes and returns the complete events, which may be forwarded. The returned bytes are valid until the next
// call.
func (s *eventScanner) feed(chunk []byte) []byte {
	if len(s.pending) > 0 {
		s.pending = append(s.pending, chunk...)
		return s.scan(s.pending)
	}
	return s.scan(chunk)
}

// scan parses the lines of buffer from scannedBytes on. The bytes after the last complete event become pending.
func (s *eventScanner) scan(buffer []byte) []byte {
	complete := 0
	for {
		lineFeed := bytes.IndexByte(buffer[s.scannedBytes:], '\n')
		if lineFeed < 0 {
			break
		}
		line := buffer[s.scannedBytes : s.scannedBytes+lineFeed]
		s.scannedBytes += lineFeed + 1
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

// keepPending makes buffer[complete:] the pending bytes. It copies them if buffer is the caller's, or if scan returns the events before
// them, which must stay valid.
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

// isDuplicate reports whether the current event may be one that the client received before the stream was resumed.
func (s *eventScanner) isDuplicate() bool {
	if !s.resumed || !s.hasID && !s.hasData {
		return false
	}
	return !s.hasID || !isHigherID(s.id, s.lastID)
}

// isHigherID reports whether an id is higher than another one. Unless both are numbers, any different id counts as higher.
func isHigherID(id, than string) bool {
	a, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return id != than
	}
	b, err := strconv.ParseUint(than, 10, 64)
	return err != nil || a > b
}

// The event fields that are parsed; see the WHATWG HTML standard, section 9.2 (server-sent events).
var (
	dataField = []byte("data")
	idField   = []byte("id")
)

// processLine parses one line of an event: a field, or a comment, whose field name is empty.
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

// endEvent completes the current event. output already holds its data, with a line feed after each line.
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

// insideEvent reports whether an event has begun but not ended.
func (s *eventScanner) insideEvent() bool { return len(s.pending) > 0 || s.hasData || s.hasID }

// finish handles the end of a complete stream, at which an event without a closing blank line is complete too. It returns the pending
// bytes, or none if the stream is unforwardable.
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

// streamProgress is the state of an eventScanner after the events that have been forwarded.
type streamProgress struct {
	count         int64
	lastID        string
	lastWithoutID bool
	dataStart     int
}

// progress returns the state that rewind restores.
func (s *eventScanner) progress() streamProgress {
	return streamProgress{count: s.count, lastID: s.lastID, lastWithoutID: s.lastWithoutID, dataStart: s.dataStart}
}

// rewind discards the events parsed since progress was called, which were not forwarded, and the current one.
func (s *eventScanner) rewind(to streamProgress) {
	s.count, s.lastID, s.lastWithoutID, s.dataStart = to.count, to.lastID, to.lastWithoutID, to.dataStart
	s.restart()
}

// restart discards an interrupted event before the stream is resumed at another endpoint.
func (s *eventScanner) restart() {
	s.pending, s.scannedBytes = nil, 0
	s.hasData, s.hasID = false, false
	s.output = s.output[:s.dataStart]
	s.resumed, s.unforwardable = s.lastID != "", false
}

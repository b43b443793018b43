package proxy

import (
	"bytes"
	"strconv"
)

// maxEventBytes bounds the size of one event, so that an endpoint whose bytes are not events cannot exhaust memory.
const maxEventBytes = 1 << 20

// maxEventIDBytes bounds the ids from which a stream can be resumed: they are kept, and sent to the next endpoint. A longer one counts as none.
const maxEventIDBytes = 1 << 10

// eventBatch is a number of complete events, in the order in which they arrived.
type eventBatch struct {
	bytes     []byte // as they arrived; valid until the parser is used again
	output    []byte // data of the events, each line followed by a line feed, if the parser collects it; valid like bytes
	count     int64  // events that have data or an id
	lastID    string // of the last event with an id
	hasID     bool   // lastID is set
	endsInGap bool   // the last event with data had no id, so it is unknown where the stream could be resumed after it
}

// eventParser parses the text/event-stream of one attempt's response as its bytes arrive. It withholds the bytes of an event until the
// event is complete. It lives as long as the attempt: an event that the attempt doesn't complete ends with it.
type eventParser struct {
	collect bool   // collect the events' data
	resumed bool   // the client got events from earlier attempts: all events must have higher ids than lastID
	lastID  string // of the last event with an id, from this attempt or earlier ones
	// unforwardable says that the rest must not be forwarded: the current event may be a duplicate, or exceeds maxEventBytes.
	unforwardable bool
	tooLong       bool // the current event exceeds maxEventBytes

	pending      []byte // bytes of the current event
	scannedBytes int    // bytes of pending in lines already parsed
	lineBytes    int    // bytes of pending after these, known to have no line feed
	output       []byte // data of the events of the last batch, then of the current one
	batchOutput  int    // length in output of the last batch's data
	hasData      bool   // of the current event
	hasID        bool
	id           string
}

// newEventParser returns a parser for the rest of a stream of which the client has been sent the events in sent, which may be none.
func newEventParser(sent *transcript, collect bool) eventParser {
	return eventParser{collect: collect, resumed: sent.lastID != "", lastID: sent.lastID}
}

// capacityFor returns the bytes that the parser may hold once it has parsed that many more.
func (p *eventParser) capacityFor(next int) int {
	return grownCapacity(cap(p.pending), len(p.pending)+next) + p.outputCapacityFor(next)
}

// outputCapacityFor returns the part of capacityFor that collected data takes.
func (p *eventParser) outputCapacityFor(next int) int {
	if !p.collect {
		return 0
	}
	return grownCapacity(cap(p.output), len(p.output)-p.batchOutput+next)
}

// grownCapacity returns at least the capacity of a slice once it has been appended to until it has so many elements.
func grownCapacity(capacity, length int) int {
	if length <= capacity {
		return capacity
	}
	return max(2*capacity, length)
}

// feed parses the next bytes and returns the events that they complete, which may be forwarded.
func (p *eventParser) feed(chunk []byte) eventBatch {
	p.dropLastBatch()
	if len(p.pending) > 0 {
		p.pending = append(p.pending, chunk...)
		return p.parse(p.pending)
	}
	return p.parse(chunk)
}

// dropLastBatch drops the output of the batch that was returned last.
func (p *eventParser) dropLastBatch() {
	p.output = append(p.output[:0], p.output[p.batchOutput:]...)
	p.batchOutput = 0
}

// parse parses the lines of buffer from scannedBytes on. The bytes after the last complete event become pending.
func (p *eventParser) parse(buffer []byte) eventBatch {
	var batch eventBatch
	complete := 0
	for {
		searched := p.scannedBytes + p.lineBytes
		lineFeed := bytes.IndexByte(buffer[searched:], '\n')
		if lineFeed < 0 {
			p.lineBytes = len(buffer) - p.scannedBytes
			break
		}
		line := buffer[p.scannedBytes : searched+lineFeed]
		p.scannedBytes, p.lineBytes = searched+lineFeed+1, 0
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) > 0 {
			p.parseLine(line)
			continue
		}
		if p.isDuplicate() {
			p.unforwardable = true
			break
		}
		p.endEvent(&batch)
		complete = p.scannedBytes
	}
	p.keepPending(buffer, complete)
	batch.bytes = buffer[:complete]
	return batch
}

// keepPending makes buffer[complete:] the pending bytes. It copies them if buffer is the caller's, or if parse returns the events before
// them, which must stay valid.
func (p *eventParser) keepPending(buffer []byte, complete int) {
	p.scannedBytes -= complete
	rest := buffer[complete:]
	p.tooLong = p.tooLong || len(rest) > maxEventBytes
	p.unforwardable = p.unforwardable || p.tooLong
	if len(rest) == 0 {
		p.pending = nil
		return
	}
	if complete == 0 && len(p.pending) > 0 {
		return
	}
	p.pending = append(make([]byte, 0, len(rest)+256), rest...)
}

// isDuplicate reports whether the current event may be one that the client received before the stream was resumed.
func (p *eventParser) isDuplicate() bool {
	if !p.resumed || !p.hasID && !p.hasData {
		return false
	}
	return !p.hasID || !isHigherID(p.id, p.lastID)
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

// parseLine parses one line of an event: a field, or a comment, whose field name is empty.
func (p *eventParser) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch {
	case bytes.Equal(name, dataField):
		p.hasData = true
		if p.collect {
			p.output = append(append(p.output, value...), '\n')
		}
	case bytes.Equal(name, idField):
		p.setID(value)
	}
}

// setID sets the id of the current event. The last id counts.
func (p *eventParser) setID(value []byte) {
	p.hasID = len(value) <= maxEventIDBytes
	if p.hasID {
		p.id = string(value)
	}
}

// endEvent adds the current event to the batch. output already holds its data, with a line feed after each line.
func (p *eventParser) endEvent(batch *eventBatch) {
	if p.hasData || p.hasID {
		batch.count++
	}
	if p.hasID {
		batch.lastID, batch.hasID, batch.endsInGap = p.id, true, false
		p.lastID = p.id
	} else if p.hasData {
		batch.endsInGap = true
	}
	p.hasData, p.hasID = false, false
	p.batchOutput = len(p.output)
	batch.output = p.output[:p.batchOutput]
}

// insideEvent reports whether an event has begun but not ended.
func (p *eventParser) insideEvent() bool { return len(p.pending) > 0 || p.hasData || p.hasID }

// finish handles the end of a complete stream, at which an event without a closing blank line is complete too. It returns that event, or
// an empty batch if there is none or the stream is unforwardable.
func (p *eventParser) finish() eventBatch {
	p.dropLastBatch()
	var batch eventBatch
	if !p.insideEvent() {
		return batch
	}
	rest := p.pending
	if line := bytes.TrimSuffix(rest[p.scannedBytes:], []byte{'\r'}); len(line) > 0 {
		p.parseLine(line)
	}
	if p.isDuplicate() {
		p.unforwardable = true
		return batch
	}
	p.endEvent(&batch)
	batch.bytes = rest
	p.pending, p.scannedBytes, p.lineBytes = nil, 0, 0
	return batch
}

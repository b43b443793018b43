package upstream

import (
	"errors"
	"strings"
)

// Memory of a response's head once it is parsed.
const (
	// freeHeadBytes is the part of a head that fits into a connection's read buffer.
	freeHeadBytes = readBufferBytes
	// headCopies is how often the bytes of a head are in memory: as a line, as header fields, and in the error if they aren't valid.
	headCopies = 3
	// freeHeadFields is the number of fields for which no memory is counted: more than ordinary responses have.
	freeHeadFields = 32
	// fieldBytes is what a field takes beyond its bytes, in the maps of the response and of what is forwarded.
	fieldBytes = 256
)

// maxListFieldName is the length of the longest name that isListField knows.
const maxListFieldName = len("connection")

// isListField reports whether a field's value is split into a list of names when the head is parsed or forwarded.
func isListField(name []byte) bool {
	return strings.EqualFold(string(name), "trailer") || strings.EqualFold(string(name), "connection")
}

// headMeter measures the head of a response as its bytes arrive, before it is parsed: a small field takes many times its bytes then. The
// zero value is at the beginning of a head.
type headMeter struct {
	bytes  int
	fields int  // lines, and names in fields with lists of names
	ended  bool // the empty line after the head has come

	name      [maxListFieldName]byte // beginning of the current line's field name
	lineBytes int                    // of the current line, without carriage returns
	inValue   bool                   // the current line's name has ended
	inList    bool                   // the current field's value is a list of names
}

// add measures the next bytes. Those after the end of the head don't count.
func (m *headMeter) add(data []byte) {
	for _, b := range data {
		if m.ended {
			return
		}
		m.bytes++
		switch b {
		case '\n':
			m.endLine()
		case '\r':
		default:
			m.addByte(b)
		}
	}
}

// addByte measures one byte of a line.
func (m *headMeter) addByte(b byte) {
	switch {
	case m.inValue:
		if b == ',' && m.inList {
			m.fields++
		}
	case m.lineBytes == 0 && (b == ' ' || b == '\t'):
		m.inValue = true // of the field before, whose value goes on
	case b == ':':
		m.inValue = true
		m.inList = m.lineBytes <= maxListFieldName && isListField(m.name[:m.lineBytes])
	case m.lineBytes < maxListFieldName:
		m.name[m.lineBytes] = b
	}
	m.lineBytes++
}

// endLine ends a line. An empty one ends the head.
func (m *headMeter) endLine() {
	m.fields++
	m.ended = m.lineBytes == 0
	m.lineBytes, m.inValue = 0, false
}

// memory returns the bytes that the head takes beyond those of an ordinary one.
func (m *headMeter) memory() int64 {
	return headCopies*int64(max(m.bytes-freeHeadBytes, 0)) + fieldBytes*int64(max(m.fields-freeHeadFields, 0))
}

// Errors of headGuard.
var (
	errTooManyFields = errors.New("response head has more fields than the configured maximum")
	errNoHeadMemory  = errors.New("no memory for the head of a response")
)

// headGuard bounds the fields and the memory of a head before it is parsed.
type headGuard struct {
	headMeter
	maxFields int
	reserve   func(bytes int64) bool // reserves so much memory in all; nil: it isn't bounded
}

// accept measures the next bytes. The error is errTooManyFields or errNoHeadMemory.
func (g *headGuard) accept(data []byte) error {
	before := g.memory()
	g.add(data)
	if g.fields > g.maxFields {
		return errTooManyFields
	}
	if now := g.memory(); g.reserve != nil && now > before && !g.reserve(now) {
		return errNoHeadMemory
	}
	return nil
}

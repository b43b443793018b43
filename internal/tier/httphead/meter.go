// Package httphead measures the heads of HTTP/1.1 requests and responses as their bytes arrive. Packages proxy and upstream use it to
// reserve the memory that a head takes once net/http has parsed it, before it is parsed. A Meter belongs to one goroutine.
package httphead

import "strings"

// Memory of a head once it is parsed.
const (
	// freeHeadBytes is the part of a head that fits into the buffer from which it is parsed.
	freeHeadBytes = 4 << 10
	// headCopies is how often the bytes of a head are in memory: as a line, as header fields, and in the error if they aren't valid.
	headCopies = 3
	// freeHeadFields is the number of fields for which no memory is counted: more than ordinary heads have.
	freeHeadFields = 32
	// fieldBytes is what a field takes beyond its bytes, in the maps of what was received and of what is forwarded.
	fieldBytes = 256
)

// maxListFieldName is the length of the longest name that isListField knows.
const maxListFieldName = len("connection")

// isListField reports whether a field's value is split into a list of names when the head is parsed or forwarded.
func isListField(name []byte) bool {
	return strings.EqualFold(string(name), "trailer") || strings.EqualFold(string(name), "connection")
}

// Meter measures a head, of which a small field takes many times its bytes once it is parsed. The zero value is at the beginning of a head.
type Meter struct {
	bytes  int
	fields int  // lines, and names in fields with lists of names
	ended  bool // the empty line after the head has come

	name      [maxListFieldName]byte // beginning of the current line's field name
	lineBytes int                    // of the current line, without carriage returns
	inValue   bool                   // the current line's name has ended
	inList    bool                   // the current field's value is a list of names
}

// Add measures the next bytes, and returns by how many bytes they make Memory grow. Those after the end of the head don't count.
func (m *Meter) Add(data []byte) (growth int64) {
	before := m.Memory()
	for _, b := range data {
		if m.ended {
			break
		}
		m.addByte(b)
	}
	return m.Memory() - before
}

// addByte measures one byte.
func (m *Meter) addByte(b byte) {
	m.bytes++
	switch b {
	case '\n':
		m.endLine()
	case '\r':
	default:
		m.addToLine(b)
	}
}

// addToLine measures one byte of a line.
func (m *Meter) addToLine(b byte) {
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
func (m *Meter) endLine() {
	m.fields++
	m.ended = m.lineBytes == 0
	m.lineBytes, m.inValue = 0, false
}

// Memory returns the bytes that the head takes beyond those of an ordinary one.
func (m *Meter) Memory() int64 {
	return headCopies*int64(max(m.bytes-freeHeadBytes, 0)) + fieldBytes*int64(max(m.fields-freeHeadFields, 0))
}

// Fields returns the number of lines, and of names in fields that list names.
func (m *Meter) Fields() int { return m.fields }

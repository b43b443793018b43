package transport

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
)

// lineKind is the first key of a line.
type lineKind string

const (
	callLine   lineKind = "call"
	streamLine lineKind = "stream"
	noticeLine lineKind = "notice"
	cancelLine lineKind = "cancel"
	answerLine lineKind = "answer"
	errorLine  lineKind = "error"
	itemLine   lineKind = "item"
	endLine    lineKind = "end"
)

// line is a parsed line; its parts point into the read buffer.
type line struct {
	kind   lineKind
	id     uint64
	method []byte
	body   []byte // unchecked JSON; nil if there is none
}

var lineKinds = []lineKind{callLine, answerLine, noticeLine, itemLine, errorLine, cancelLine, streamLine, endLine}

// parseLine splits a line, given without its line feed. The body is checked where it is decoded.
func parseLine(text []byte) (line, error) {
	rest, ok := bytes.CutPrefix(text, []byte(`{"`))
	if !ok {
		return line{}, ErrBadLine
	}
	rest, ok = bytes.CutSuffix(rest, []byte("}"))
	if !ok {
		return line{}, ErrBadLine
	}
	kind, rest := cutKind(rest)
	if kind == "" {
		return line{}, ErrBadLine
	}
	id, rest, ok := cutNumber(rest)
	if !ok {
		return line{}, ErrBadLine
	}
	parsed := line{kind: kind, id: id}
	if after, found := bytes.CutPrefix(rest, []byte(`,"method":"`)); found {
		end := bytes.IndexByte(after, '"')
		if end <= 0 {
			return line{}, ErrBadLine
		}
		parsed.method, rest = after[:end], after[end+1:]
	}
	if after, found := bytes.CutPrefix(rest, []byte(`,"body":`)); found {
		parsed.body, rest = after, nil
	}
	if len(rest) != 0 {
		return line{}, ErrBadLine
	}
	return parsed, nil
}

func cutKind(rest []byte) (lineKind, []byte) {
	end := bytes.IndexByte(rest, '"')
	if end < 0 || end+1 >= len(rest) || rest[end+1] != ':' {
		return "", rest
	}
	for _, kind := range lineKinds {
		if string(rest[:end]) == string(kind) {
			return kind, rest[end+2:]
		}
	}
	return "", rest
}

// maxNumberDigits keeps a number from overflowing.
const maxNumberDigits = 18

func cutNumber(rest []byte) (uint64, []byte, bool) {
	var number uint64
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		number = number*10 + uint64(rest[digits]-'0')
		digits++
	}
	return number, rest[digits:], digits > 0 && digits <= maxNumberDigits
}

// validMethod says whether a name can stand in a line as it is.
func validMethod(method string) bool {
	for i := range len(method) {
		c := method[i]
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return method != ""
}

// lineBuffers holds buffers for written lines.
var lineBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func releaseLine(buffer *bytes.Buffer) {
	if buffer.Cap() > keptLineBytes {
		return
	}
	buffer.Reset()
	lineBuffers.Put(buffer)
}

// Appender is a body that writes its own JSON. It is for large parts that are JSON already: the encoder of the library
// would read each of them again, for every receiver.
type Appender interface {
	// AppendJSON appends the body as encoding/json would write it. Where line feeds stand in it, the library writes the body.
	AppendJSON(buffer []byte) ([]byte, error)
}

// encodeLine writes a whole line, once, into a buffer that releaseLine takes back.
func encodeLine(kind lineKind, id uint64, method string, body any, bound int) (*bytes.Buffer, error) {
	buffer := lineBuffers.Get().(*bytes.Buffer)
	buffer.WriteString(`{"`)
	buffer.WriteString(string(kind))
	buffer.WriteString(`":`)
	buffer.Write(strconv.AppendUint(buffer.AvailableBuffer(), id, 10))
	if method != "" {
		buffer.WriteString(`,"method":"`)
		buffer.WriteString(method)
		buffer.WriteByte('"')
	}
	if body != nil {
		buffer.WriteString(`,"body":`)
		if err := encodeBody(buffer, body); err != nil {
			releaseLine(buffer)
			return nil, err
		}
	}
	buffer.WriteString("}\n")
	if buffer.Len() > bound {
		err := &TooLongError{Bytes: buffer.Len(), Bound: bound}
		releaseLine(buffer)
		return nil, err
	}
	return buffer, nil
}

func encodeBody(buffer *bytes.Buffer, body any) error {
	if appender, ok := body.(Appender); ok {
		written, err := appender.AppendJSON(buffer.AvailableBuffer())
		if err != nil || bytes.IndexByte(written, '\n') < 0 {
			buffer.Write(written)
			return err
		}
	}
	encoder := json.NewEncoder(buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(body); err != nil {
		return err
	}
	buffer.Truncate(buffer.Len() - 1) // the encoder's line feed
	return nil
}

package transport

import "bytes"

// lineKind is the first key of a line and part of the protocol.
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

// lineKinds lists all kinds in descending order of frequency.
var lineKinds = []lineKind{callLine, answerLine, noticeLine, itemLine, errorLine, cancelLine, streamLine, endLine}

// line is a parsed line. Its slices alias the read buffer and are valid until the next line is read.
type line struct {
	kind   lineKind
	id     uint64
	method []byte
	body   []byte // unvalidated JSON; nil if the line has no body
}

// parseLine parses a line without its line feed. The error is ErrBadLine. The body is validated only when it is decoded.
func parseLine(text []byte) (line, error) {
	rest, ok := bytes.CutPrefix(text, []byte(`{"`))
	if !ok {
		return line{}, ErrBadLine
	}
	rest, ok = bytes.CutSuffix(rest, []byte("}"))
	if !ok {
		return line{}, ErrBadLine
	}
	kind, rest := parseKind(rest)
	if kind == "" {
		return line{}, ErrBadLine
	}
	id, rest, ok := parseNumber(rest)
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

// parseKind returns the kind at the start of the text, or an empty kind if there is none, and the text after its colon.
func parseKind(rest []byte) (lineKind, []byte) {
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

// maxNumberDigits bounds the digits of a number, so that it cannot overflow.
const maxNumberDigits = 18

// parseNumber returns the number at the start of the text and the text after it, or false if there is no number or it has more than
// maxNumberDigits digits.
func parseNumber(rest []byte) (uint64, []byte, bool) {
	var number uint64
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		number = number*10 + uint64(rest[digits]-'0')
		digits++
	}
	return number, rest[digits:], digits > 0 && digits <= maxNumberDigits
}

// validMethod reports whether a method is not empty and can be written in a line without escapes.
func validMethod(method string) bool {
	for i := range len(method) {
		c := method[i]
		if c <= ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return method != ""
}

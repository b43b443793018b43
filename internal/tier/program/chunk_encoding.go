package program

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// Estimated lengths of the JSON of one record without its names and contents. They are used to allocate memory once and to decide
// when a chunk is full.
const (
	programRecordBytes = 120
	turnRecordBytes    = 180
)

// JSON encodes the chunk for Restorer.Add. It returns the same bytes as encoding/json, in less time and with less memory.
func (c *Chunk) JSON() []byte {
	return c.appendJSON(make([]byte, 0, c.estimatedBytes()))
}

// appendJSON appends the chunk's JSON.
func (c *Chunk) appendJSON(out []byte) []byte {
	out = append(out, `{"nowMs":`...)
	out = strconv.AppendInt(out, c.NowMs, 10)
	out = append(out, `,"heardMs":`...)
	out = strconv.AppendInt(out, c.LastCommandMs, 10)
	out = appendNumber(out, `,"number":`, int64(c.Index))
	if c.HasNext {
		out = append(out, `,"goesOn":true`...)
	}
	if c.Continuation != nil {
		out = append(out, `,"more":`...)
		out = appendContent(out, c.Continuation)
	}
	out = append(out, `,"programs":[`...)
	for index := range c.Programs {
		out = appendSeparator(out)
		out = appendProgram(out, &c.Programs[index])
	}
	out = append(out, `],"turns":[`...)
	for index := range c.Turns {
		out = appendSeparator(out)
		out = appendTurn(out, &c.Turns[index])
	}
	return append(out, "]}"...)
}

// estimatedBytes returns a little more than the length of the JSON if names have their usual length.
func (c *Chunk) estimatedBytes() int {
	contents := int(c.contentBytes)
	contents += contents/3 + contents/100
	return contents + (len(c.Turns)+1)*turnRecordBytes + len(c.Programs)*programRecordBytes
}

func appendProgram(out []byte, p *programRecord) []byte {
	out = append(out, `{"name":`...)
	out = appendString(out, p.Name)
	out = appendNumber(out, `,"limit":`, p.Limit)
	out = appendNumber(out, `,"spent":`, p.Spent)
	out = appendNumber(out, `,"reserved":`, p.Reserved)
	out = append(out, `,"usedMs":`...)
	out = strconv.AppendInt(out, p.LastUsedMs, 10)
	return append(out, '}')
}

func appendTurn(out []byte, t *turnRecord) []byte {
	out = append(out, `{"turn":`...)
	out = appendString(out, t.Turn)
	out = appendNumber(out, `,"state":`, int64(t.State))
	if t.Remembered {
		out = append(out, `,"remembered":true`...)
	}
	if t.Program != "" {
		out = append(out, `,"program":`...)
		out = appendString(out, t.Program)
	}
	out = appendNumber(out, `,"most":`, t.ReservedTokens)
	out = appendNumber(out, `,"parent":`, int64(t.Parent))
	out = appendNumber(out, `,"keepMs":`, t.RetainMs)
	out = appendNumber(out, `,"dueMs":`, t.ExpiresAtMs)
	out = appendBytes(out, `,"input":`, t.Input)
	out = appendBytes(out, `,"output":`, t.Output)
	return append(out, '}')
}

func appendContent(out []byte, contents *contentRecord) []byte {
	start := len(out)
	out = appendBytes(out, `,"input":`, contents.Input)
	out = appendBytes(out, `,"output":`, contents.Output)
	if len(out) == start {
		return append(out, "{}"...)
	}
	out[start] = '{' // replaces the leading comma of the first field
	return append(out, '}')
}

// appendSeparator appends a comma unless the next item is the first one of a list.
func appendSeparator(out []byte) []byte {
	if out[len(out)-1] == '[' {
		return out
	}
	return append(out, ',')
}

// appendNumber appends a field unless its value is 0.
func appendNumber(out []byte, field string, value int64) []byte {
	if value == 0 {
		return out
	}
	out = append(out, field...)
	return strconv.AppendInt(out, value, 10)
}

// appendBytes appends a field in base64 unless its value is empty.
func appendBytes(out []byte, field string, value []byte) []byte {
	if len(value) == 0 {
		return out
	}
	out = append(out, field...)
	out = append(out, '"')
	out = base64.StdEncoding.AppendEncode(out, value)
	return append(out, '"')
}

func appendString(out []byte, text string) []byte {
	if !isPlain(text) {
		quoted, _ := json.Marshal(text) // never fails for a string
		return append(out, quoted...)
	}
	out = append(out, '"')
	out = append(out, text...)
	return append(out, '"')
}

// isPlain reports whether encoding/json would write a text without escapes.
func isPlain(text string) bool {
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c >= utf8.RuneSelf, c == '"', c == '\\', c == '<', c == '>', c == '&':
			return false
		}
	}
	return true
}

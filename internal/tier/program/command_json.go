package program

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"slices"
)

// The fields with contents, in the order of the structs, and the field after them.
const (
	inputField    = `,"input":`
	importedField = `,"imported":`
	outputField   = `,"output":`
	timeField     = `,"atMs":`
)

// AppendJSON appends the command's JSON. It is equivalent to that of encoding/json, which would hold contents several times while it
// encodes them.
func (b *BeginTurn) AppendJSON(buffer []byte) ([]byte, error) {
	described := *b
	described.Input, described.Imported = nil, nil
	return appendWithContents(buffer, &described, content{inputField, b.Input}, content{importedField, b.Imported})
}

// AppendJSON appends the command's JSON, as BeginTurn.AppendJSON does.
func (e *EndTurn) AppendJSON(buffer []byte) ([]byte, error) {
	described := *e
	described.Output = nil
	return appendWithContents(buffer, &described, content{outputField, e.Output})
}

// EncodeCommand returns a command's JSON. It isn't a method, which a type that embeds Command would have too, without its own fields.
func EncodeCommand(c Command) (json.RawMessage, error) {
	switch {
	case c.Begin != nil && c.End == nil:
		return encloseJSON(`{"begin":`, c.Begin.AppendJSON)
	case c.End != nil && c.Begin == nil:
		return encloseJSON(`{"end":`, c.End.AppendJSON)
	}
	return json.Marshal(c)
}

// encloseJSON returns an object with one field.
func encloseJSON(start string, appendValue func(buffer []byte) ([]byte, error)) (json.RawMessage, error) {
	encoded, err := appendValue([]byte(start))
	if err != nil {
		return nil, err
	}
	return append(encoded, '}'), nil
}

// content is a field with contents.
type content struct {
	field string
	value []byte
}

// jsonOverheadBytes is at least what quotes, braces and field names of contents take.
const jsonOverheadBytes = 64

// appendWithContents appends the JSON of a command that is described without its contents, and inserts these before timeField.
func appendWithContents(buffer []byte, described any, contents ...content) ([]byte, error) {
	encoded, err := json.Marshal(described)
	if err != nil {
		return buffer, err
	}
	size := len(encoded) + jsonOverheadBytes
	for _, c := range contents {
		size += base64.StdEncoding.EncodedLen(len(c.value))
	}
	buffer = slices.Grow(buffer, size)
	at := bytes.LastIndex(encoded, []byte(timeField))
	buffer = append(buffer, encoded[:at]...)
	for _, c := range contents {
		buffer = appendBytes(buffer, c.field, c.value)
	}
	return append(buffer, encoded[at:]...), nil
}

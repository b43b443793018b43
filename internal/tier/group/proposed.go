package group

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// proposed wraps a command on its way through the log, so that its proposer finds the outcome.
type proposed struct {
	Origin  string          `json:"o"`
	Token   uint64          `json:"t"`
	Command json.RawMessage `json:"c"`
}

// JSONEncoder is a command that writes its own JSON: one with large parts that are JSON already.
type JSONEncoder interface {
	// EncodeJSON returns the command as encoding/json would write it.
	EncodeJSON() (json.RawMessage, error)
}

func encodeCommand(command any) (json.RawMessage, error) {
	if encoded, ok := command.(JSONEncoder); ok {
		return encoded.EncodeJSON()
	}
	return json.Marshal(command)
}

// What stands between the parts of a proposal as appendProposed writes it.
const (
	beforeOrigin  = `{"o":`
	beforeToken   = `,"t":`
	beforeCommand = `,"c":`
)

// appendProposed appends a proposal as JSON. The command isn't read for it.
func appendProposed(buffer []byte, p *proposed) []byte {
	buffer = append(buffer, beforeOrigin...)
	buffer = strconv.AppendQuoteToASCII(buffer, p.Origin) // an identity and a number: as JSON writes them
	buffer = append(buffer, beforeToken...)
	buffer = strconv.AppendUint(buffer, p.Token, 10)
	buffer = append(buffer, beforeCommand...)
	buffer = append(buffer, p.Command...)
	return append(buffer, '}')
}

// readProposed reads an entry's data. The command shares its memory. It isn't read where the proposal stands there as
// appendProposed writes it; in any other form the whole is.
func readProposed(data json.RawMessage) (proposed, error) {
	if p, ok := cutProposed(data); ok {
		return p, nil
	}
	var p proposed
	err := json.Unmarshal(data, &p)
	return p, err
}

func cutProposed(data json.RawMessage) (proposed, bool) {
	rest, ok := bytes.CutPrefix(data, []byte(beforeOrigin+`"`))
	if !ok {
		return proposed{}, false
	}
	origin, rest, ok := bytes.Cut(rest, []byte(`"`+beforeToken))
	if !ok || bytes.ContainsAny(origin, `"\\`) {
		return proposed{}, false
	}
	written, rest, ok := bytes.Cut(rest, []byte(beforeCommand))
	if !ok {
		return proposed{}, false
	}
	token, err := strconv.ParseUint(string(written), 10, 64)
	command, ended := bytes.CutSuffix(rest, []byte("}"))
	if err != nil || !ended || len(command) == 0 {
		return proposed{}, false
	}
	return proposed{Origin: string(origin), Token: token, Command: command}, true
}

package group

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// proposal wraps a command on its way through the log, so that its proposer finds the outcome. It is stored.
type proposal struct {
	Origin  string          `json:"o"`
	Token   uint64          `json:"t"`
	Command json.RawMessage `json:"c"`
}

// JSONEncoder is a command that writes its own JSON: one with large fields that are JSON already.
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

// What stands between the fields of a proposal as appendProposal writes it.
const (
	beforeOrigin  = `{"o":`
	beforeToken   = `,"t":`
	beforeCommand = `,"c":`
)

// appendProposal appends a proposal as JSON. The command is copied unread.
func appendProposal(buffer []byte, p *proposal) []byte {
	buffer = append(buffer, beforeOrigin...)
	buffer = strconv.AppendQuoteToASCII(buffer, p.Origin) // an identity and a number: as JSON writes them
	buffer = append(buffer, beforeToken...)
	buffer = strconv.AppendUint(buffer, p.Token, 10)
	buffer = append(buffer, beforeCommand...)
	buffer = append(buffer, p.Command...)
	return append(buffer, '}')
}

// parseProposal reads an entry's data. The command shares its memory, and is not read where the proposal has the form that
// appendProposal writes; any other JSON is decoded as a whole.
func parseProposal(data json.RawMessage) (proposal, error) {
	if p, ok := parseCanonicalProposal(data); ok {
		return p, nil
	}
	var p proposal
	err := json.Unmarshal(data, &p)
	return p, err
}

func parseCanonicalProposal(data json.RawMessage) (proposal, bool) {
	rest, ok := bytes.CutPrefix(data, []byte(beforeOrigin+`"`))
	if !ok {
		return proposal{}, false
	}
	origin, rest, ok := bytes.Cut(rest, []byte(`"`+beforeToken))
	if !ok || bytes.ContainsAny(origin, `"\\`) {
		return proposal{}, false
	}
	written, rest, ok := bytes.Cut(rest, []byte(beforeCommand))
	if !ok {
		return proposal{}, false
	}
	token, err := strconv.ParseUint(string(written), 10, 64)
	command, ended := bytes.CutSuffix(rest, []byte("}"))
	if err != nil || !ended || len(command) == 0 {
		return proposal{}, false
	}
	return proposal{Origin: string(origin), Token: token, Command: command}, true
}

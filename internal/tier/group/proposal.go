package group

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
)

// proposal wraps a command in a log entry, so that its proposer can match the outcome to the call. It is a stored format.
type proposal struct {
	Origin  string          `json:"o"`
	Token   uint64          `json:"t"`
	Command json.RawMessage `json:"c"`
}

// JSONEncoder is implemented by commands with large fields that are JSON already, which encoding/json would parse again.
type JSONEncoder interface {
	// EncodeJSON returns the same JSON as encoding/json.
	EncodeJSON() (json.RawMessage, error)
}

func encodeCommand(command any) (json.RawMessage, error) {
	if encoded, ok := command.(JSONEncoder); ok {
		return encoded.EncodeJSON()
	}
	return json.Marshal(command)
}

// The text before each field of a proposal as appendProposal writes it.
const (
	originKey  = `{"o":`
	tokenKey   = `,"t":`
	commandKey = `,"c":`
)

// proposalOverhead is at least what a proposal takes in bytes without its command.
const proposalOverhead = 128

// appendProposal appends a proposal as JSON. It copies the command without parsing it.
func appendProposal(buffer []byte, p *proposal) []byte {
	buffer = slices.Grow(buffer, len(p.Command)+proposalOverhead)
	buffer = append(buffer, originKey...)
	buffer = strconv.AppendQuoteToASCII(buffer, p.Origin) // an identity and a number, which JSON quotes in the same way
	buffer = append(buffer, tokenKey...)
	buffer = strconv.AppendUint(buffer, p.Token, 10)
	buffer = append(buffer, commandKey...)
	buffer = append(buffer, p.Command...)
	return append(buffer, '}')
}

// parseProposal parses an entry's data. If it has the form that appendProposal writes, the command is a slice of it and isn't
// parsed; any other JSON is decoded by encoding/json.
func parseProposal(data json.RawMessage) (proposal, error) {
	if p, ok := parseCanonicalProposal(data); ok {
		return p, nil
	}
	var p proposal
	err := json.Unmarshal(data, &p)
	return p, err
}

// parseCanonicalProposal parses a proposal that appendProposal has written, and returns false for any other form.
func parseCanonicalProposal(data json.RawMessage) (proposal, bool) {
	rest, ok := bytes.CutPrefix(data, []byte(originKey+`"`))
	if !ok {
		return proposal{}, false
	}
	origin, rest, ok := bytes.Cut(rest, []byte(`"`+tokenKey))
	if !ok || bytes.ContainsAny(origin, `"\\`) {
		return proposal{}, false
	}
	written, rest, ok := bytes.Cut(rest, []byte(commandKey))
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

package controller

import (
	"bytes"
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
)

// Command is one entry of the configuration shard's log. Exactly one field is set.
type Command struct {
	Configuration        *configuration.Proposal  `json:"configure,omitempty"`
	Placement            *PlacementProposal       `json:"place,omitempty"`
	Rollout              *rollout.Proposal        `json:"rollout,omitempty"`
	ObservedVersion      *rollout.ObservedVersion `json:"seen,omitempty"`
	RolloutDecision      *rollout.Decision        `json:"decide,omitempty"`
	Decommission         *decommission.Proposal   `json:"retire,omitempty"`
	DecommissionDecision *decommission.Decision   `json:"retired,omitempty"`
}

// The text around the fields of a configuration proposal, as EncodeJSON writes it.
const (
	beforeBase   = `{"configure":{"base":`
	beforeNumber = `,"number":`
	beforeRaw    = `,"raw":`
	afterRaw     = `}}`
)

// EncodeJSON implements group.JSONEncoder. A configuration's document, which may have megabytes and is JSON already, is copied
// instead of being encoded again.
func (c Command) EncodeJSON() (json.RawMessage, error) {
	proposal := c.Configuration
	if proposal == nil || len(proposal.Raw) == 0 {
		return json.Marshal(c)
	}
	const numbers = 2 * 20 // maximum digits of two uint64
	encoded := make([]byte, 0, len(beforeBase)+len(beforeNumber)+len(beforeRaw)+len(proposal.Raw)+len(afterRaw)+numbers)
	encoded = append(encoded, beforeBase...)
	encoded = strconv.AppendUint(encoded, proposal.Base, 10)
	encoded = append(encoded, beforeNumber...)
	encoded = strconv.AppendUint(encoded, proposal.Number, 10)
	encoded = append(encoded, beforeRaw...)
	encoded = append(encoded, proposal.Raw...)
	return append(encoded, afterRaw...), nil
}

// decodeCommand decodes an entry. The document of a configuration isn't parsed where EncodeJSON has written the entry.
func decodeCommand(raw json.RawMessage) (Command, error) {
	if proposal := parseConfiguration(raw); proposal != nil {
		return Command{Configuration: proposal}, nil
	}
	var command Command
	err := json.Unmarshal(raw, &command)
	return command, err
}

// parseConfiguration parses a configuration proposal and copies its document. It returns nil for any other command, and for a
// proposal that EncodeJSON has not written.
func parseConfiguration(raw json.RawMessage) *configuration.Proposal {
	rest, ok := bytes.CutPrefix(raw, []byte(beforeBase))
	if !ok {
		return nil
	}
	base, rest, ok := bytes.Cut(rest, []byte(beforeNumber))
	if !ok {
		return nil
	}
	number, rest, ok := bytes.Cut(rest, []byte(beforeRaw))
	if !ok {
		return nil
	}
	document, ok := bytes.CutSuffix(rest, []byte(afterRaw))
	if !ok || len(document) == 0 {
		return nil
	}
	proposal := &configuration.Proposal{Raw: bytes.Clone(document)}
	var baseErr, numberErr error
	proposal.Base, baseErr = strconv.ParseUint(string(base), 10, 64)
	proposal.Number, numberErr = strconv.ParseUint(string(number), 10, 64)
	if baseErr != nil || numberErr != nil {
		return nil
	}
	return proposal
}

package controller

import (
	"bytes"
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/configuration"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/rollout"
)

// Command is one entry of the configuration shard's log; one field is set.
type Command struct {
	Configuration        *configuration.Proposal  `json:"configure,omitempty"`
	Placement            *PlacementProposal       `json:"place,omitempty"`
	Rollout              *rollout.Proposal        `json:"rollout,omitempty"`
	ObservedVersion      *rollout.ObservedVersion `json:"seen,omitempty"`
	RolloutDecision      *rollout.Decision        `json:"decide,omitempty"`
	Decommission         *decommission.Proposal   `json:"retire,omitempty"`
	DecommissionDecision *decommission.Decision   `json:"retired,omitempty"`
}

// What stands between the parts of an order to take a configuration, as EncodeJSON writes it.
const (
	beforeBase   = `{"configure":{"base":`
	beforeNumber = `,"number":`
	beforeRaw    = `,"raw":`
	afterRaw     = `}}`
)

// EncodeJSON implements group.Encoded: a configuration, which is JSON already, isn't read again for it.
func (c Command) EncodeJSON() (json.RawMessage, error) {
	order := c.Configuration
	if order == nil || len(order.Raw) == 0 {
		return json.Marshal(c)
	}
	const numbers = 2 * 20 // digits at most
	written := make([]byte, 0, len(beforeBase)+len(beforeNumber)+len(beforeRaw)+len(order.Raw)+len(afterRaw)+numbers)
	written = append(written, beforeBase...)
	written = strconv.AppendUint(written, order.Base, 10)
	written = append(written, beforeNumber...)
	written = strconv.AppendUint(written, order.Number, 10)
	written = append(written, beforeRaw...)
	written = append(written, order.Raw...)
	return append(written, afterRaw...), nil
}

// decodeCommand reads an entry. A configuration isn't read where the entry stands there as EncodeJSON writes it.
func decodeCommand(raw json.RawMessage) (Command, error) {
	if order := parseConfiguration(raw); order != nil {
		return Command{Configuration: order}, nil
	}
	var command Command
	err := json.Unmarshal(raw, &command)
	return command, err
}

// parseConfiguration reads an order to take a configuration, in memory of its own; nil: it is another command, or written in another way.
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
	content, ok := bytes.CutSuffix(rest, []byte(afterRaw))
	if !ok || len(content) == 0 {
		return nil
	}
	order := &configuration.Proposal{Raw: bytes.Clone(content)}
	var baseErr, numberErr error
	order.Base, baseErr = strconv.ParseUint(string(base), 10, 64)
	order.Number, numberErr = strconv.ParseUint(string(number), 10, 64)
	if baseErr != nil || numberErr != nil {
		return nil
	}
	return order
}

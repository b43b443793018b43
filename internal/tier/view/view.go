// Package view holds what the control plane spreads to every process: one section each for the configuration, the
// endpoints, the roll-outs and the placement of shards. A section is replaced as a whole by one with a higher stamp.
package view

import (
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/model"
)

// Stamp orders the contents of one section: by the epoch of the owner that wrote it, then by its sequence number.
type Stamp struct {
	Term     uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Less tells whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence
}

// Section names one part of the view.
type Section string

// The sections.
const (
	ConfigurationSection Section = "configuration" // a Config
	EndpointsSection     Section = "endpoints"     // an EndpointList
	RolloutsSection      Section = "rollouts"      // a RolloutList
	PlacementSection     Section = "placement"     // a Placement
)

// Digest tells which contents a process holds.
type Digest map[Section]Stamp

// Update is one section's content with its stamp, as it travels.
type Update struct {
	Section Section         `json:"section"`
	Stamp   Stamp           `json:"stamp"`
	Body    json.RawMessage `json:"body"`
}

// AppendJSON implements transport.Appender.
func (p Update) AppendJSON(buffer []byte) ([]byte, error) {
	section, err := json.Marshal(p.Section)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, `{"section":`...)
	buffer = append(buffer, section...)
	buffer = append(buffer, `,"stamp":{"epoch":`...)
	buffer = strconv.AppendUint(buffer, p.Stamp.Term, 10)
	buffer = append(buffer, `,"sequence":`...)
	buffer = strconv.AppendUint(buffer, p.Stamp.Sequence, 10)
	buffer = append(buffer, `},"body":`...)
	if p.Body == nil {
		buffer = append(buffer, "null"...)
	}
	buffer = append(buffer, p.Body...)
	return append(buffer, '}'), nil
}

// Config is the section of the configuration.
type Config struct {
	Raw json.RawMessage `json:"raw"` // as the operator sent it
}

// JSON writes the section without reading the configuration again, which is JSON already.
func (c Config) JSON() json.RawMessage {
	const before, after = `{"raw":`, `}`
	written := make([]byte, 0, len(before)+len(c.Raw)+len(after))
	written = append(written, before...)
	written = append(written, c.Raw...)
	return append(written, after...)
}

// EndpointList is the section of the endpoints.
type EndpointList struct {
	Endpoints []model.Endpoint `json:"endpoints"`
}

// RolloutList is the section of the roll-outs: for each service the version that takes its traffic, and the order under way.
type RolloutList struct {
	Services []ServiceVersions `json:"services"`
}

// ServiceVersions says which versions of a service's software may take requests.
type ServiceVersions struct {
	Service          string  `json:"service"`
	Current          string  `json:"current"`          // version in service
	Target           string  `json:"target,omitempty"` // version being rolled out; empty: none
	Order            uint64  `json:"order,omitempty"`  // names the order to roll Target out: the same version may be ordered again
	Share            float64 `json:"share,omitempty"`  // of requests that Target may get, 0 to 1
	InitialAllowance float64 `json:"extra,omitempty"`  // requests above Share that each proxy may send to Target at first
}

// Placement is the section of the shards.
type Placement struct {
	Shards []ShardPlacement `json:"shards"` // the index is the shard's number
}

// ShardPlacement names the replicas that a shard is meant to have.
type ShardPlacement struct {
	Initial  []Replica `json:"initial"`  // the members with which the group began
	Replicas []Replica `json:"replicas"` // the members that it is to have now
}

// Replica is one copy of a shard.
type Replica struct {
	ID      string `json:"id"`      // identity that lies on the machine's disk
	Node    string `json:"node"`    // name of the machine
	Address string `json:"address"` // host:port of its control link
	Zone    string `json:"zone"`
}

// Sections lists all sections, in the order in which they are taken over.
var Sections = []Section{ConfigurationSection, PlacementSection, EndpointsSection, RolloutsSection}

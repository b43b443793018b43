// Package view holds what the control plane disseminates to every process: one section each for the configuration, the endpoints,
// the roll-outs and the placement of shards. Controllers write the sections; package gossip spreads them between processes, and
// package viewfeed streams them to proxies. A section is replaced as a whole by one with a higher stamp, so that updates may arrive in
// any order and more than once. Values are immutable once shared. Processes of different versions exchange the JSON: tags must not
// change.
package view

import (
	"encoding/json"
	"strconv"

	"mastusher/internal/tier/model"
)

// Stamp orders the contents of one section: by the term of the leader that wrote it, then by that leader's sequence number. State from
// the replicated log has term 0 and its log index as the sequence number.
type Stamp struct {
	Term     uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
}

// Less reports whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	return s.Term < o.Term || s.Term == o.Term && s.Sequence < o.Sequence
}

// Section names a section of the view.
type Section string

// The sections.
const (
	ConfigurationSection Section = "configuration" // a Config
	EndpointsSection     Section = "endpoints"     // an EndpointList
	RolloutsSection      Section = "rollouts"      // a RolloutList
	PlacementSection     Section = "placement"     // a Placement
)

// Digest is the stamp of each section that a process has.
type Digest map[Section]Stamp

// Update is one section's content with its stamp, as processes exchange it.
type Update struct {
	Section Section         `json:"section"`
	Stamp   Stamp           `json:"stamp"`
	Body    json.RawMessage `json:"body"`
}

// AppendJSON implements transport.Appender. It gives the same bytes as encoding/json, without encoding the body again.
func (u Update) AppendJSON(buffer []byte) ([]byte, error) {
	section, err := json.Marshal(u.Section)
	if err != nil {
		return buffer, err
	}
	buffer = append(buffer, `{"section":`...)
	buffer = append(buffer, section...)
	buffer = append(buffer, `,"stamp":{"epoch":`...)
	buffer = strconv.AppendUint(buffer, u.Stamp.Term, 10)
	buffer = append(buffer, `,"sequence":`...)
	buffer = strconv.AppendUint(buffer, u.Stamp.Sequence, 10)
	buffer = append(buffer, `},"body":`...)
	if u.Body == nil {
		buffer = append(buffer, "null"...)
	}
	buffer = append(buffer, u.Body...)
	return append(buffer, '}'), nil
}

// Config is the section of the configuration.
type Config struct {
	Raw json.RawMessage `json:"raw"` // as the operator sent it
}

// JSON encodes the section without parsing the configuration again, which is JSON already.
func (c Config) JSON() json.RawMessage {
	const before, after = `{"raw":`, `}`
	encoded := make([]byte, 0, len(before)+len(c.Raw)+len(after))
	encoded = append(encoded, before...)
	encoded = append(encoded, c.Raw...)
	return append(encoded, after...)
}

// EndpointList is the section of the endpoints.
type EndpointList struct {
	Endpoints []model.Endpoint `json:"endpoints"`
}

// RolloutList is the section of the roll-outs: for each service the version that takes its traffic, and the roll-out in progress.
type RolloutList struct {
	Services []ServiceVersions `json:"services"`
}

// ServiceVersions lists the versions of a service's software that may take requests.
type ServiceVersions struct {
	Service          string  `json:"service"`
	Current          string  `json:"current"`          // version in service
	Target           string  `json:"target,omitempty"` // version being rolled out; empty: none
	Order            uint64  `json:"order,omitempty"`  // identifies the order to roll Target out: the same version may be ordered more than once
	TrafficShare     float64 `json:"share,omitempty"`  // of the service's requests that Target may get, 0 to 1
	InitialAllowance float64 `json:"extra,omitempty"`  // requests above TrafficShare that each proxy may send to Target at first
}

// Placement is the content of PlacementSection: the replicas that each shard should have.
type Placement struct {
	Shards []ShardPlacement `json:"shards"` // the index is the shard's number
}

// ShardPlacement lists the replicas that a shard should have.
type ShardPlacement struct {
	Initial  []Replica `json:"initial"`  // the group's initial members
	Replicas []Replica `json:"replicas"` // the group's target members
}

// Replica is one replica of a shard.
type Replica struct {
	ID      string `json:"id"`      // identity on the machine's disk; see package identity
	Node    string `json:"node"`    // name of the machine
	Address string `json:"address"` // host:port for calls of package transport
	Zone    string `json:"zone"`
}

// Sections lists all sections, in the order in which updates are applied.
var Sections = []Section{ConfigurationSection, PlacementSection, EndpointsSection, RolloutsSection}

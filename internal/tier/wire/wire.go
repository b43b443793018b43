// Package wire names the methods and bodies that the processes of the tier exchange over their links.
package wire

import (
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
)

// The methods.
const (
	MethodReplica      = "replica"       // notice: a group.Envelope
	MethodBeginTurn    = "turn.begin"    // BeginTurnRequest, answered by a BeginTurnResponse
	MethodEndTurn      = "turn.end"      // EndTurnRequest, answered by a program.Result
	MethodChain        = "turn.chain"    // ChainRequest, answered by a ChainResponse
	MethodFetch        = "view.fetch"    // FetchRequest, answered by a FetchResponse
	MethodFeed         = "view.feed"     // FetchRequest, streams view.Piece
	MethodMembers      = "members.sync"  // membership.Sync both ways
	MethodShardMembers = "shard.members" // ShardMembersRequest, answered by a ShardMembersResponse
)

// MethodEndpoints has a controller read the platform's list of endpoints: an EndpointsRequest, answered by an EndpointsResponse.
const MethodEndpoints = "endpoints"

// EndpointsRequest asks for the platform's list as it is now.
type EndpointsRequest struct{}

// EndpointsResponse holds the whole list.
type EndpointsResponse struct {
	Endpoints []model.Endpoint `json:"endpoints"`
}

// MethodProxies asks an agent how many proxies there are: a ProxiesRequest, answered by a ProxiesResponse.
const MethodProxies = "proxies"

// ProxiesRequest asks for the number of proxies.
type ProxiesRequest struct{}

// ProxiesResponse tells the number of proxies that run, as far as the agent knows.
type ProxiesResponse struct {
	Count int `json:"count"`
}

// MethodVersionStats is the method of a notice, a VersionStatsReport, by which proxies tell through their agents what they have seen.
const MethodVersionStats = "rollout.tallies"

// VersionStatsReport tells what one proxy has seen of the versions of services since its start.
type VersionStatsReport struct {
	Source   string         `json:"source"` // names the proxy's start
	Versions []VersionStats `json:"versions"`
}

// VersionStats is what was seen of one version on one route, during one roll-out or outside of any.
type VersionStats struct {
	Service string        `json:"service"`
	Route   string        `json:"route"`
	Version string        `json:"version"`
	Order   uint64        `json:"order,omitempty"` // the order that rolls the version out; 0: none, or one that has ended
	AgeMs   int64         `json:"ageMs,omitempty"` // time since the proxy first heard of the order, ms
	Stats   rollout.Stats `json:"tally"`
}

// KindNotLeader is the kind of a remote error whose message is the owner's address, or empty where it is not known.
const KindNotLeader = "not_owner"

// PortOffset is a role's place in the range of ports that are free on every machine.
type PortOffset = int

// The ports of the roles.
const (
	ControllerPort PortOffset = 0
	AgentPort      PortOffset = 1
	StorePort      PortOffset = 2
)

// BeginTurnRequest asks the owner of a shard to take a turn.
type BeginTurnRequest struct {
	Shard        int               `json:"shard"`
	Turn         program.BeginTurn `json:"turn"`
	CachedChains []CachedChain     `json:"held,omitempty"` // what may be left out of the answer
}

// EndTurnRequest asks the owner of a shard to settle a turn.
type EndTurnRequest struct {
	Shard int             `json:"shard"`
	Turn  program.EndTurn `json:"turn"`
}

// ChainRequest asks the owner of a shard for a turn's whole chain.
type ChainRequest struct {
	Shard int    `json:"shard"`
	Turn  string `json:"turn"`
}

// ChainResponse holds a chain, if the turn is held there.
type ChainResponse struct {
	Found bool   `json:"found"`
	Chain []byte `json:"chain,omitempty"`
}

// FetchRequest asks for the sections of which the other side has newer content than the digest tells.
type FetchRequest struct {
	Digest view.Digest `json:"digest"`
}

// FetchResponse brings them.
type FetchResponse struct {
	Updates []view.Update `json:"pieces"`
}

// AppendJSON implements transport.Appender.
func (a FetchResponse) AppendJSON(buffer []byte) ([]byte, error) {
	buffer = append(buffer, `{"pieces":[`...)
	for i, piece := range a.Updates {
		if i > 0 {
			buffer = append(buffer, ',')
		}
		var err error
		if buffer, err = piece.AppendJSON(buffer); err != nil {
			return buffer, err
		}
	}
	return append(buffer, "]}"...), nil
}

// ShardMembersRequest asks a store which members the groups have that it owns.
type ShardMembersRequest struct{}

// ShardMembers tells the members of one group, by its owner: a majority has confirmed its epoch, and the members are
// committed.
type ShardMembers struct {
	Shard     int      `json:"shard"`
	Term      uint64   `json:"epoch"`
	Placement uint64   `json:"placement"` // index of the newest placement that the group has begun to follow
	IDs       []string `json:"ids"`       // all members, with and without a vote
	CaughtUp  []string `json:"caughtUp"`  // members that have a vote and all but the newest entries
}

// ShardMembersResponse lists the groups owned by a store.
type ShardMembersResponse struct {
	Shards []ShardMembers `json:"shards"`
}

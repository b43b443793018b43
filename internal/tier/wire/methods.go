// Package wire names the methods that the processes of the tier call on each other over package transport, with the JSON bodies
// of their requests and responses. It holds no logic but that of leaving out what the other side has. Processes of different
// versions talk to each other during a roll-out, so names and tags must not change; testdata/bodies.jsonl holds them.
package wire

// The methods. A notice has no response.
const (
	MethodReplica      = "replica"         // notice: a group.Envelope
	MethodBeginTurn    = "turn.begin"      // BeginTurnRequest, BeginTurnResponse
	MethodEndTurn      = "turn.end"        // EndTurnRequest, program.Result
	MethodChain        = "turn.chain"      // ChainRequest, ChainResponse
	MethodFetch        = "view.fetch"      // FetchRequest, FetchResponse
	MethodFeed         = "view.feed"       // FetchRequest, a stream of view.Update
	MethodMembers      = "members.sync"    // membership.Sync both ways
	MethodShardMembers = "shard.members"   // ShardMembersRequest, ShardMembersResponse
	MethodEndpoints    = "endpoints"       // EndpointsRequest, EndpointsResponse; served by controllers
	MethodProxies      = "proxies"         // ProxiesRequest, ProxiesResponse; served by agents
	MethodVersionStats = "rollout.tallies" // notice: a VersionStatsReport, from a proxy by way of its agent
)

// KindNotLeader is the kind of a remote error whose message is the leader's address, or empty where that is not known.
const KindNotLeader = "not_owner"

// PortOffset is the position of a role's port in the range of ports that are free on every machine (settings.PortRange).
type PortOffset = int

// The ports of the roles.
const (
	ControllerPort PortOffset = 0
	AgentPort      PortOffset = 1
	StorePort      PortOffset = 2
)

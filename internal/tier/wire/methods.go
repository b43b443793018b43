// Package wire defines the methods that processes of the tier call on each other with package transport, and the JSON bodies of their
// requests and responses. Its only logic is the omission of data that the receiver already has. Processes of different versions
// communicate during a roll-out, so names and tags must not change; testdata/bodies.jsonl records them.
package wire

// Methods. A notice has no response.
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
	MethodVersionStats = "rollout.tallies" // notice: a VersionStatsReport, sent by a proxy and forwarded by its agent
)

// KindNotLeader is the kind of a remote error whose message is the leader's address, or empty if the leader is unknown.
const KindNotLeader = "not_owner"

// PortOffset is the offset of a role's port into the range of ports that are free on every machine (settings.PortRange).
type PortOffset = int

// Ports of the roles.
const (
	ControllerPort PortOffset = 0
	AgentPort      PortOffset = 1
	StorePort      PortOffset = 2
)

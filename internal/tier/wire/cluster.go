package wire

import "mastusher/internal/tier/model"

// EndpointsRequest requests the platform's current list of endpoints from a controller.
type EndpointsRequest struct{}

// EndpointsResponse holds the complete list.
type EndpointsResponse struct {
	Endpoints []model.Endpoint `json:"endpoints"`
}

// ProxiesRequest requests the number of proxies from an agent.
type ProxiesRequest struct{}

// ProxiesResponse holds the number of running proxies, as far as the agent knows.
type ProxiesResponse struct {
	Count int `json:"count"`
}

// ShardMembersRequest requests the members of the groups that a store leads.
type ShardMembersRequest struct{}

// ShardMembers holds the members of a group, as its leader knows them: a majority has confirmed its term, and the members are committed.
type ShardMembers struct {
	Shard     int      `json:"shard"`
	Term      uint64   `json:"epoch"`
	Placement uint64   `json:"placement"` // index of the newest placement that the group has started to apply
	IDs       []string `json:"ids"`       // all members: voters and learners
	CaughtUp  []string `json:"caughtUp"`  // voters that have all entries except the newest ones
}

// ShardMembersResponse holds the groups that a store leads.
type ShardMembersResponse struct {
	Shards []ShardMembers `json:"shards"`
}

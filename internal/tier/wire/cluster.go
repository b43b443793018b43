package wire

import "mastusher/internal/tier/model"

// EndpointsRequest asks a controller for the platform's current list of endpoints.
type EndpointsRequest struct{}

// EndpointsResponse holds the complete list.
type EndpointsResponse struct {
	Endpoints []model.Endpoint `json:"endpoints"`
}

// ProxiesRequest asks an agent for the number of proxies.
type ProxiesRequest struct{}

// ProxiesResponse holds the number of running proxies, as far as the agent knows.
type ProxiesResponse struct {
	Count int `json:"count"`
}

// ShardMembersRequest asks a store for the members of the groups that it leads.
type ShardMembersRequest struct{}

// ShardMembers lists the members of one group, by its leader: a majority has confirmed its term, and the members are committed.
type ShardMembers struct {
	Shard     int      `json:"shard"`
	Term      uint64   `json:"epoch"`
	Placement uint64   `json:"placement"` // index of the newest placement that the group has begun to follow
	IDs       []string `json:"ids"`       // all members, voters and learners
	CaughtUp  []string `json:"caughtUp"`  // voters that have all but the newest entries
}

// ShardMembersResponse lists the groups that a store leads.
type ShardMembersResponse struct {
	Shards []ShardMembers `json:"shards"`
}

package store

import (
	"context"
	"time"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// queryTimeout bounds a query for the members of a store's groups. A longer timeout tolerates slower machines, and delays the removal
// of surplus replicas and the end of a decommissioning.
const queryTimeout = 700 * time.Millisecond

// QueryMembers returns a function that asks the store at an address for the members of the groups that the store leads. Stores and
// the controllers' leader use it. The function does not block: each query runs in its own goroutine, which calls done once and ends
// within queryTimeout. Nothing waits for the goroutine, so done may be called after its owner has ended.
func QueryMembers(pool *transport.Pool) func(address string, done func(wire.ShardMembersResponse, error)) {
	return func(address string, done func(wire.ShardMembersResponse, error)) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
			defer cancel()
			done(transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, address, wire.MethodShardMembers, wire.ShardMembersRequest{}))
		}()
	}
}

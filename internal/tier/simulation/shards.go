package simulation

import (
	"context"
	"time"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// completeShards returns the number of shards whose leader reports that all replicas have caught up.
func (f *Fleet) completeShards() int {
	pool := transport.NewPoolOn(f.environment.client)
	defer pool.Close()
	complete := map[int]bool{}
	for _, m := range f.machinesOf(storageClass) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, m.address(firstPort+wire.StorePort),
			wire.MethodShardMembers, wire.ShardMembersRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, shard := range answer.Shards {
			if len(shard.IDs) == replicasPerShard && len(shard.CaughtUp) == replicasPerShard {
				complete[shard.Shard] = true
			}
		}
	}
	return len(complete)
}

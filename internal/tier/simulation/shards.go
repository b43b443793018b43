package simulation

import (
	"context"
	"time"

	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// wholeShards counts the shards whose owner tells that all their replicas have caught up.
func (f *Fleet) wholeShards() int {
	pool := transport.NewPoolOn(f.around.client)
	defer pool.Close()
	whole := map[int]bool{}
	for _, m := range f.of(storageClass) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := transport.Call[wire.ShardMembersRequest, wire.ShardMembersResponse](ctx, pool, m.address(firstPort+wire.StorePort),
			wire.MethodShardMembers, wire.ShardMembersRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, told := range answer.Shards {
			if len(told.IDs) == copies && len(told.CaughtUp) == copies {
				whole[told.Shard] = true
			}
		}
	}
	return len(whole)
}

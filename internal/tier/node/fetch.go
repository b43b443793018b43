package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/wire"
)

// fetchTimeout bounds a call that fetches updates. It exceeds gossip.DefaultFetchTimeout, as late updates are still applied.
const fetchTimeout = 2 * time.Second

// fetch calls another member for updates and queues the result for the next step; a result without updates is a failure. It ends
// with ctx or after fetchTimeout.
func (d *gossipDriver) fetch(ctx context.Context, fetch gossip.Fetch) {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := wire.FetchRequest{Digest: fetch.Requested}
	answer, err := transport.Call[wire.FetchRequest, wire.FetchResponse](bounded, d.node.options.Pool, fetch.Address, wire.MethodFetch, request)
	if err != nil {
		level.Debug(d.node.options.Logger).Log("msg", "fetching updates failed", "peer", fetch.Address, "err", err)
	}
	d.submit(func(input *gossip.Input) {
		input.Fetched = append(input.Fetched, gossip.FetchResult{Token: fetch.Token, Updates: answer.Updates})
	})
}

// handleFetch answers a fetch by another member.
func (d *gossipDriver) handleFetch(_ context.Context, _ string, request wire.FetchRequest) (wire.FetchResponse, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return wire.FetchResponse{Updates: d.store.AtLeast(request.Digest)}, nil
}

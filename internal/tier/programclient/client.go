package programclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// ErrNoPlacement is returned as long as it isn't known which stores have which shards. Nothing was sent.
var ErrNoPlacement = errors.New("placement of shards is not known")

// Client calls the leaders of shards. It is safe for concurrent use.
type Client struct {
	pool      *transport.Pool
	placement atomic.Pointer[view.Placement]
	cache     *prefixCache

	mutex   sync.Mutex     // guards leaders
	leaders map[int]string // address to try first, by shard
}

// New returns a client without a placement. cacheBytes bounds the chains cached; 0: caches none. A larger cache saves traffic
// between proxies and stores and takes as much memory.
func New(pool *transport.Pool, cacheBytes int) *Client {
	return &Client{pool: pool, cache: newPrefixCache(cacheBytes), leaders: map[int]string{}}
}

// SetPlacement sets the placement, which must not be changed afterwards.
func (c *Client) SetPlacement(placement *view.Placement) { c.placement.Store(placement) }

// HasPlacement reports whether a placement with shards is known.
func (c *Client) HasPlacement() bool {
	p := c.placement.Load()
	return p != nil && len(p.Shards) > 0
}

// ZoneOf returns the zone of a store by its host, as the placement has it.
func (c *Client) ZoneOf(host string) (zone string, known bool) {
	p := c.placement.Load()
	if p == nil {
		return "", false
	}
	for _, shard := range p.Shards {
		for _, r := range shard.Replicas {
			if address, _, err := net.SplitHostPort(r.Address); err == nil && address == host {
				return r.Zone, true
			}
		}
	}
	return "", false
}

// Begin begins a turn at the leader of key's shard. If another shard has the chain that the turn continues, it is imported.
// It retries until ctx ends. After an error the outcome is unknown, except for ErrNoPlacement.
func (c *Client) Begin(ctx context.Context, key string, turn program.BeginTurn) (program.Result, error) {
	shard, err := c.shardOf(key)
	if err != nil {
		return program.Result{}, err
	}
	result, err := c.begin(ctx, shard, turn)
	if err != nil || result.Verdict != program.TurnNotFound {
		return result, err
	}
	chain, found, err := c.findChain(ctx, shard, turn.Previous)
	if err != nil || !found {
		return result, err
	}
	turn.Imported = chain
	return c.begin(ctx, shard, turn)
}

// begin begins a turn at the leader of a shard, and joins the chain of what is cached and what the store sent.
func (c *Client) begin(ctx context.Context, shard int, turn program.BeginTurn) (program.Result, error) {
	cached := c.cache.prefixes(&turn)
	request := wire.BeginTurnRequest{Shard: shard, Turn: turn, CachedChains: digestsOf(cached)}
	response, err := callLeader[wire.BeginTurnRequest, wire.BeginTurnResponse](ctx, c, shard, wire.MethodBeginTurn, request)
	if err != nil {
		return program.Result{}, err
	}
	result := response.Result
	if result.Chain, err = joinPrefix(cached, response); err != nil {
		return program.Result{}, fmt.Errorf("shard %d: %w", shard, err)
	}
	if result.Verdict == program.Accepted {
		c.cache.addBegun(&turn, result.Chain)
	}
	return result, nil
}

// End commits a turn at the leader of key's shard. It retries until ctx ends. After an error the outcome is unknown, except
// for ErrNoPlacement.
func (c *Client) End(ctx context.Context, key string, turn program.EndTurn) (program.Result, error) {
	shard, err := c.shardOf(key)
	if err != nil {
		return program.Result{}, err
	}
	result, err := callLeader[wire.EndTurnRequest, program.Result](ctx, c, shard, wire.MethodEndTurn, wire.EndTurnRequest{Shard: shard, Turn: turn})
	if err == nil {
		c.cache.addEnded(&turn, result.Verdict)
	}
	return result, err
}

func (c *Client) shardOf(key string) (int, error) {
	p := c.placement.Load()
	if p == nil || len(p.Shards) == 0 {
		return 0, ErrNoPlacement
	}
	return placement.Shard(key, len(p.Shards)), nil
}

// findChain asks the leaders of all other shards for a turn's chain, and returns the first that is found. That there is none
// is reported only if every leader has answered so. Once one is found nobody waits for the other calls any more: they go on until
// they are answered or ctx, the request's, ends.
func (c *Client) findChain(ctx context.Context, except int, turn string) ([]byte, bool, error) {
	p := c.placement.Load()
	type reply struct {
		response wire.ChainResponse
		err      error
	}
	replies := make(chan reply, len(p.Shards)) // has room for all, so that no goroutine outlives its call
	pending := 0
	for shard := range p.Shards {
		if shard == except {
			continue
		}
		pending++
		go func() {
			response, err := callLeader[wire.ChainRequest, wire.ChainResponse](ctx, c, shard, wire.MethodChain, wire.ChainRequest{Shard: shard, Turn: turn})
			replies <- reply{response, err}
		}()
	}
	var failed error
	for range pending {
		r := <-replies
		if r.err != nil {
			failed = r.err
			continue
		}
		if r.response.Found {
			return r.response.Chain, true, nil
		}
	}
	return nil, false, failed
}

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

// ErrNoPlacement is returned while the client doesn't know which stores hold which shards. No request was sent.
var ErrNoPlacement = errors.New("no placement of shards is known yet")

// Client sends requests about turns to the leaders of shards. It is safe for concurrent use.
type Client struct {
	pool      *transport.Pool
	placement atomic.Pointer[view.Placement]
	cache     *prefixCache

	mutex   sync.Mutex     // guards leaders
	leaders map[int]string // address to try first, by shard
}

// New returns a client without a placement. cacheBytes bounds the total size of the cached chains; 0 caches none. A larger cache
// takes more memory and saves traffic between proxies and stores.
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

// ZoneOf returns the zone of the store on a host, according to the placement.
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

// Begin begins a turn at the leader of key's shard. If the turn continues a chain that another shard stores, that chain is
// imported. Begin retries until ctx ends. After any error but ErrNoPlacement it is unknown whether the turn was begun.
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

// begin begins a turn at the leader of a shard, and joins the cached prefix of its chain with the rest that the store sent.
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

// End commits a turn at the leader of key's shard. It retries until ctx ends. After any error but ErrNoPlacement it is unknown
// whether the turn was committed.
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

// findChain asks the leaders of all other shards for a turn's chain, and returns the first one found. It reports that there is
// none only if every leader has answered so. Once a chain is found, findChain returns without waiting for the other calls, which
// go on until they are answered or ctx ends.
func (c *Client) findChain(ctx context.Context, except int, turn string) ([]byte, bool, error) {
	p := c.placement.Load()
	type reply struct {
		response wire.ChainResponse
		err      error
	}
	replies := make(chan reply, len(p.Shards)) // has room for all replies, so that no goroutine blocks after findChain has returned
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
	var lastErr error
	for range pending {
		r := <-replies
		if r.err != nil {
			lastErr = r.err
			continue
		}
		if r.response.Found {
			return r.response.Chain, true, nil
		}
	}
	return nil, false, lastErr
}

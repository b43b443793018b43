// Package programclient finds the owner of a program's shard and has turns begun and settled there.
package programclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/program"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Bounds of one call.
const (
	attemptTimeout = 400 * time.Millisecond // one store's time to answer
	initialBackoff = 15 * time.Millisecond  // after a round in which no store was the owner
	maxBackoff     = 120 * time.Millisecond
)

// ErrNoPlacement says that it is not known yet which store holds which shard.
var ErrNoPlacement = errors.New("placement of shards is not known")

// Client calls the owners of shards. It is safe for concurrent use.
type Client struct {
	pool      *transport.Pool
	placement atomic.Pointer[view.Placement]
	cache     *prefixCache

	mutex   sync.Mutex
	leaders map[int]string // address that answered last, by shard
}

// New returns a client that knows no placement yet, and keeps so many bytes of what programs have said; see chains.
func New(pool *transport.Pool, keptBytes int) *Client {
	return &Client{pool: pool, cache: newPrefixCache(keptBytes), leaders: map[int]string{}}
}

// SetPlacement takes over a placement.
func (c *Client) SetPlacement(placement *view.Placement) { c.placement.Store(placement) }

// HasPlacement tells whether a placement is known.
func (c *Client) HasPlacement() bool {
	p := c.placement.Load()
	return p != nil && len(p.Shards) > 0
}

// Begin has a turn taken by the owner of key's shard. A chain that another shard holds is brought over. An error means
// that the outcome is not known.
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

// begin asks the owner of a shard, and puts the chain together of what comes and what is held here.
func (c *Client) begin(ctx context.Context, shard int, turn program.BeginTurn) (program.Result, error) {
	held := c.cache.prefixes(&turn)
	request := wire.BeginTurnRequest{Shard: shard, Turn: turn, CachedChains: cachedChainsOf(held)}
	begun, err := callLeader[wire.BeginTurnRequest, wire.BeginTurnResponse](ctx, c, shard, wire.MethodBeginTurn, request)
	if err != nil {
		return program.Result{}, err
	}
	result := begun.Result
	if result.Chain, err = joinPrefix(held, begun); err != nil {
		return program.Result{}, fmt.Errorf("shard %d: %w", shard, err)
	}
	if result.Verdict == program.Accepted {
		c.cache.addBegun(&turn, result.Chain)
	}
	return result, nil
}

// End settles a turn at the owner of key's shard. An error means that the outcome is not known.
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

// findChain asks the owners of all other shards for a turn's chain. Only if each of them is certain is there none.
func (c *Client) findChain(ctx context.Context, except int, turn string) ([]byte, bool, error) {
	p := c.placement.Load()
	type reply struct {
		answer wire.ChainResponse
		err    error
	}
	replies := make(chan reply, len(p.Shards))
	asked := 0
	for shard := range p.Shards {
		if shard == except {
			continue
		}
		asked++
		go func() {
			answer, err := callLeader[wire.ChainRequest, wire.ChainResponse](ctx, c, shard, wire.MethodChain, wire.ChainRequest{Shard: shard, Turn: turn})
			replies <- reply{answer, err}
		}()
	}
	var failed error
	for range asked {
		r := <-replies
		if r.err != nil {
			failed = r.err
			continue
		}
		if r.answer.Found {
			return r.answer.Chain, true, nil
		}
	}
	return nil, false, failed
}

// callLeader asks the shard's stores in turn until its owner answers or ctx ends. A store that is named as the owner and has just
// given no answer is asked again only after the others: one of them may own the shard by then.
func callLeader[Request, Answer any](ctx context.Context, c *Client, shard int, method string, request Request) (Answer, error) {
	pause := initialBackoff
	address, silent := c.leader(shard), ""
	for round := 0; ; round++ {
		answer, hint, err := callStore[Request, Answer](ctx, c, address, method, request)
		if err == nil {
			c.setLeader(shard, address)
			return answer, nil
		}
		if isUnanswered(err) && !errors.Is(ctx.Err(), context.Canceled) {
			silent = address
			c.avoid(shard, address)
		}
		if ctx.Err() != nil {
			var none Answer
			return none, fmt.Errorf("shard %d: %w", shard, err)
		}
		if hint != "" && hint != address && hint != silent {
			address = hint
		} else {
			address = c.nextReplica(shard, address)
		}
		if (round+1)%c.replicaCount(shard) != 0 {
			continue
		}
		if err := sleep(ctx, pause); err != nil {
			var none Answer
			return none, fmt.Errorf("shard %d: %w", shard, err)
		}
		pause = min(2*pause, maxBackoff)
	}
}

// callStore calls one store. The hint is the address of the owner, when the store knows another.
func callStore[Request, Answer any](ctx context.Context, c *Client, address, method string, request Request) (answer Answer, hint string, err error) {
	bounded, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer, err = transport.Call[Request, Answer](bounded, c.pool, address, method, request)
	var remote *transport.RemoteError
	if errors.As(err, &remote) && remote.Kind == wire.KindNotLeader {
		hint = remote.Message
	}
	return answer, hint, err
}

// isUnanswered tells whether a store gave no answer at all.
func isUnanswered(err error) bool {
	var remote *transport.RemoteError
	return !errors.As(err, &remote)
}

func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (c *Client) replicas(shard int) []view.Replica {
	p := c.placement.Load()
	if p == nil || shard >= len(p.Shards) {
		return nil
	}
	return p.Shards[shard].Replicas
}

// ZoneOf returns the zone of a store by its host, as the placement tells it.
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

func (c *Client) replicaCount(shard int) int { return max(1, len(c.replicas(shard))) }

// leader is the store that answered last, or the first replica.
func (c *Client) leader(shard int) string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replicas := c.replicas(shard)
	known := c.leaders[shard]
	for _, r := range replicas {
		if r.Address == known {
			return known
		}
	}
	if len(replicas) == 0 {
		return ""
	}
	return replicas[0].Address
}

// nextReplica is the replica after the one at address.
func (c *Client) nextReplica(shard int, address string) string {
	replicas := c.replicas(shard)
	for i, r := range replicas {
		if r.Address == address {
			return replicas[(i+1)%len(replicas)].Address
		}
	}
	return c.leader(shard)
}

// avoid makes the next calls begin at another store than one that gave no answer: a call whose time ends with that store's
// would never come to the others.
func (c *Client) avoid(shard int, address string) {
	if c.leader(shard) == address {
		c.setLeader(shard, c.nextReplica(shard, address))
	}
}

func (c *Client) setLeader(shard int, address string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leaders[shard] = address
}
